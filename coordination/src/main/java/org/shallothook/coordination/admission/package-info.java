/** Admission at one engine: reservations, fair queues, late binding, preemption and streams. */
package org.shallothook.coordination.admission;
