/**
 * Admission control for one engine: reservations, fair queues, late binding, preemption, streams.
 */
package org.shallothook.coordination.admission;
