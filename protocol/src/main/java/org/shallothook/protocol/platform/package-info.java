/** JSON forms between the system and the platform, its engines and its services. */
package org.shallothook.protocol.platform;
