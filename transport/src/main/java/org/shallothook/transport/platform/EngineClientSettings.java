package org.shallothook.transport.platform;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Addresses of an engine and its cache store, and the timeouts of requests to the engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine address of the engine
 * @param store address of the cache store, {@code IP:port}
 * @param blockBytes prompt bytes in a cached block
 * @param streamTimeout longest gap in the stream of a completion
 * @param transferTimeout timeout of a block transfer
 * @param statusTimeout timeout of all other requests
 */
public record EngineClientSettings(
    InetSocketAddress engine,
    String store,
    int blockBytes,
    Duration streamTimeout,
    Duration transferTimeout,
    Duration statusTimeout) {}
