/** Replication of the configuration between log and processes, and publication of changes. */
package org.shallothook.coordination.configuration;
