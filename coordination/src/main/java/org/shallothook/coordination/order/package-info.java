/** Assignment of model versions and roles to engines, and the orders that carry it out. */
package org.shallothook.coordination.order;
