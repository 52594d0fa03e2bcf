/** Replication of the configuration from the log to all processes, and publication of changes. */
package org.shallothook.coordination.configuration;
