/** Settings file of the stand-ins. */
package org.shallothook.standins.settings;
