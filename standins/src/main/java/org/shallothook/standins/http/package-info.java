/** HTTP forms of the stand-ins over one shared server. */
package org.shallothook.standins.http;
