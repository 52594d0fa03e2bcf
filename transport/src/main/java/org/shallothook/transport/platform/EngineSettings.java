package org.shallothook.transport.platform;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Where an engine and its cache store are, and how long to wait for them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param engine address of the engine
 * @param store address of the cache store, {@code IP:port}
 * @param blockBytes bytes in a cached block
 * @param streamTimeout longest silence of an answer that is being read
 * @param transferTimeout longest wait for a transfer of blocks
 * @param statusTimeout longest wait for every other answer
 */
public record EngineSettings(
    InetSocketAddress engine,
    String store,
    int blockBytes,
    Duration streamTimeout,
    Duration transferTimeout,
    Duration statusTimeout) {}
