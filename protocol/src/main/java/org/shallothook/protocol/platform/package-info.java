/** JSON formats of the platform's APIs: its log, its instance list, its engines and services. */
package org.shallothook.protocol.platform;
