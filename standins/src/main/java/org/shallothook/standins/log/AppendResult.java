package org.shallothook.standins.log;

import java.util.OptionalLong;
import org.shallothook.standins.fault.RequestFault;

/**
 * Result of an append.
 *
 * <p>Invariant: the offset is present if and only if the record was appended. Immutable and
 * thread-safe.
 *
 * @param fault outcome of the request as the client sees it
 * @param offset offset of the appended record
 */
public record AppendResult(RequestFault fault, OptionalLong offset) {}
