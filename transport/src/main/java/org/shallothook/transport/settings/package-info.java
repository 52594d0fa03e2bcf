/** Settings files of both binaries: INI, checked as a whole before anything starts. */
package org.shallothook.transport.settings;
