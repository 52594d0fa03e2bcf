/** Stand-ins for the hosting platform: its store, its servers, and the network links to them. */
package org.shallothook.soak.standins;
