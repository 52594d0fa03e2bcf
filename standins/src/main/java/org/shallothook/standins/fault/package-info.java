/** Faults that every stand-in can be told to show. */
package org.shallothook.standins.fault;
