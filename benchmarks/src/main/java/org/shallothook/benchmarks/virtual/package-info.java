/**
 * A fleet in virtual time: the real decision classes of routers and sidecars against the models of
 * the stand-ins, without sockets, threads or wall clock.
 *
 * <p>{@link org.shallothook.benchmarks.virtual.VirtualFleet} is the entrance. It is built with its
 * routers, upstreams, failure domains and teams; callers' requests and faults are scheduled or sent
 * by hand; {@code runUntil} moves time on; {@link org.shallothook.benchmarks.virtual.CallerDesk}
 * tells what each caller received and {@link org.shallothook.benchmarks.virtual.UpstreamLedger}
 * what each upstream executed. The same seed gives the same run to the digit.
 */
package org.shallothook.benchmarks.virtual;
