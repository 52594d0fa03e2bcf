/** Parsing of the stand-ins' settings file. */
package org.shallothook.standins.settings;
