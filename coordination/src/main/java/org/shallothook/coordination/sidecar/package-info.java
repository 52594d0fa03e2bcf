/**
 * Decision logic of a sidecar. It handles events and emits commands; it starts no threads and does
 * no input or output.
 */
package org.shallothook.coordination.sidecar;
