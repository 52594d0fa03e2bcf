package org.shallothook.protocol.peer;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.shallothook.coordination.message.Hint;
import org.shallothook.protocol.generated.AttemptFrame;
import org.shallothook.protocol.generated.HintFrame;
import org.shallothook.protocol.generated.LogRecordFrame;
import org.shallothook.protocol.generated.ModelVersionFrame;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/**
 * Conversions of values that occur in several messages.
 *
 * <p>Stateless and thread-safe.
 */
final class FieldMapping {
  private static final int KEY_BYTES = 2 * Long.BYTES;

  private FieldMapping() {}

  static AttemptFrame toFrame(AttemptId attempt) {
    return AttemptFrame.newBuilder()
        .setRequest(attempt.request().value())
        .setNumber(attempt.number())
        .build();
  }

  static AttemptId toAttempt(AttemptFrame frame) {
    if (frame.getRequest().isBlank()) {
      throw new InvalidFieldException("attempt.request", frame.getRequest());
    }
    if (frame.getNumber() < 1) {
      throw new InvalidFieldException("attempt.number", frame.getNumber());
    }
    return new AttemptId(new RequestId(frame.getRequest()), frame.getNumber());
  }

  static ModelVersionFrame toFrame(ModelVersion version) {
    return ModelVersionFrame.newBuilder()
        .setModel(version.model())
        .setVersion(version.version())
        .setAdapter(version.adapter())
        .build();
  }

  static ModelVersion toModelVersion(ModelVersionFrame frame) {
    if (frame.getModel().isBlank()) {
      throw new InvalidFieldException("model_version.model", frame.getModel());
    }
    if (frame.getVersion().isBlank()) {
      throw new InvalidFieldException("model_version.version", frame.getVersion());
    }
    return new ModelVersion(frame.getModel(), frame.getVersion(), frame.getAdapter());
  }

  static HintFrame toFrame(Hint hint) {
    return HintFrame.newBuilder()
        .setMatchedBlocks(hint.matchedBlocks())
        .setQueueDelayMicros(hint.queueDelayMicros())
        .setSpread(hint.spread())
        .setSpreadBlocks(hint.spreadBlocks())
        .build();
  }

  static Hint toHint(HintFrame frame) {
    return new Hint(
        requireNonNegative("hint.matched_blocks", frame.getMatchedBlocks()),
        requireNonNegative("hint.queue_delay_micros", frame.getQueueDelayMicros()),
        requireNonNegative("hint.spread", frame.getSpread()),
        requireNonNegative("hint.spread_blocks", frame.getSpreadBlocks()));
  }

  static LogRecordFrame toFrame(LogRecord record) {
    return LogRecordFrame.newBuilder()
        .setOffset(record.offset())
        .setAppendedAtMicros(record.appendedAtMicros())
        .setPayload(record.payload())
        .build();
  }

  static LogRecord toLogRecord(LogRecordFrame frame) {
    return new LogRecord(
        requireNonNegative("record.offset", frame.getOffset()),
        frame.getAppendedAtMicros(),
        frame.getPayload());
  }

  static ByteString toBytes(List<BlockKey> keys) {
    ByteBuffer buffer = ByteBuffer.allocate(keys.size() * KEY_BYTES);
    for (BlockKey key : keys) {
      buffer.putLong(key.high());
      buffer.putLong(key.low());
    }
    return ByteString.copyFrom(buffer.flip());
  }

  static List<BlockKey> toKeys(ByteString bytes) {
    if (bytes.size() % KEY_BYTES != 0) {
      throw new InvalidFieldException("keys", bytes.size() + " bytes");
    }
    ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
    List<BlockKey> keys = new ArrayList<>(bytes.size() / KEY_BYTES);
    while (buffer.hasRemaining()) {
      keys.add(new BlockKey(buffer.getLong(), buffer.getLong()));
    }
    return keys;
  }

  static boolean areAbbreviated(List<BlockKey> keys) {
    return keys.stream().allMatch(BlockKey::isAbbreviated);
  }

  static ByteString toAbbreviatedBytes(List<BlockKey> keys) {
    ByteBuffer buffer = ByteBuffer.allocate(keys.size() * BlockKey.ABBREVIATION_BYTES);
    for (BlockKey key : keys) {
      buffer.put((byte) (key.low() >> 16)).put((byte) (key.low() >> 8)).put((byte) key.low());
    }
    return ByteString.copyFrom(buffer.flip());
  }

  static List<BlockKey> toAbbreviatedKeys(ByteString bytes) {
    if (bytes.size() % BlockKey.ABBREVIATION_BYTES != 0) {
      throw new InvalidFieldException("abbreviated_keys", bytes.size() + " bytes");
    }
    ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
    List<BlockKey> keys = new ArrayList<>(bytes.size() / BlockKey.ABBREVIATION_BYTES);
    while (buffer.hasRemaining()) {
      long high = Byte.toUnsignedLong(buffer.get()) << 16;
      long middle = Byte.toUnsignedLong(buffer.get()) << 8;
      keys.add(new BlockKey(0, high | middle | Byte.toUnsignedLong(buffer.get())));
    }
    return keys;
  }

  static <T extends Enum<T>> T toEnumConstant(Class<T> type, String field, String name) {
    for (T constant : type.getEnumConstants()) {
      if (constant.name().equals(name)) {
        return constant;
      }
    }
    throw new InvalidFieldException(field, name);
  }

  static int requireNonNegative(String field, int value) {
    if (value < 0) {
      throw new InvalidFieldException(field, value);
    }
    return value;
  }

  static long requireNonNegative(String field, long value) {
    if (value < 0) {
      throw new InvalidFieldException(field, value);
    }
    return value;
  }

  static double requireNonNegative(String field, double value) {
    if (!(value >= 0)) {
      throw new InvalidFieldException(field, value);
    }
    return value;
  }
}
