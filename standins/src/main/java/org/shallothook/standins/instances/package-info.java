/** Model of the lagging list of instances. */
package org.shallothook.standins.instances;
