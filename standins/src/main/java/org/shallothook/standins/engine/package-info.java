/** Model of an engine that batches continuously and caches prompt prefixes. */
package org.shallothook.standins.engine;
