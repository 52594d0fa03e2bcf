/** Helpers for collections of bounded size. */
package org.shallothook.state.collection;
