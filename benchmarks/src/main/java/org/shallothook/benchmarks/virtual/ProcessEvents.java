package org.shallothook.benchmarks.virtual;

import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.InstanceList;

/**
 * Makes the events that routers and sidecars have alike, each in the type of its own core.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <E> type of the core's events
 */
record ProcessEvents<E>(
    Supplier<E> tick,
    Function<Envelope, E> received,
    Function<String, E> lost,
    Function<String, E> unreachable,
    Function<InstanceList, E> instances,
    Function<LogPage, E> read,
    Function<String, E> readFailed,
    BiFunction<Long, Long, E> appended,
    BiFunction<Long, Boolean, E> appendFailed) {}
