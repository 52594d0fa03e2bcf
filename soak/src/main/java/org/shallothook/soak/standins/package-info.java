/** Small stand-ins of the hosting platform: its store, its servers, and the links to them. */
package org.shallothook.soak.standins;
