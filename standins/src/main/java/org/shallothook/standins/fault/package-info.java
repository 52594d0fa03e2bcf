/** Fault injection for the stand-ins. */
package org.shallothook.standins.fault;
