/** Decision core of a router: handles events and emits commands, without threads or I/O. */
package org.shallothook.coordination.router;
