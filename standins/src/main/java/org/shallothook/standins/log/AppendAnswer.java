package org.shallothook.standins.log;

import java.util.OptionalLong;
import org.shallothook.standins.fault.RequestFault;

/**
 * What became of an append.
 *
 * <p>Invariant: the offset is present exactly when the append took effect. Immutable and
 * thread-safe.
 *
 * @param fault what the sender sees
 * @param offset offset of the record
 */
public record AppendAnswer(RequestFault fault, OptionalLong offset) {}
