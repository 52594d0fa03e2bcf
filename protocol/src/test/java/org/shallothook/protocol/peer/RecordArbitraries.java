package org.shallothook.protocol.peer;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * Generates values of any record type from the types of its components, so that a new message or
 * field is covered without a change here.
 *
 * <p>Stateless and thread-safe.
 */
final class RecordArbitraries {
  private static final int MAXIMUM_LIST_SIZE = 4;

  private RecordArbitraries() {}

  static Arbitrary<Object> of(Class<?> type) {
    List<Arbitrary<Object>> components =
        Arrays.stream(type.getRecordComponents()).map(RecordArbitraries::component).toList();
    return Combinators.combine(components).as(values -> create(type, values));
  }

  private static Arbitrary<Object> component(RecordComponent component) {
    // Attempts are numbered from 1; every other number may be 0.
    if (component.getName().equals("number")) {
      return Arbitraries.integers().greaterOrEqual(1).asGeneric();
    }
    return arbitraryOf(component.getGenericType());
  }

  private static Arbitrary<Object> arbitraryOf(Type type) {
    if (type instanceof ParameterizedType generic) {
      Arbitrary<Object> inner = arbitraryOf(generic.getActualTypeArguments()[0]);
      return generic.getRawType() == Optional.class
          ? inner.optional().asGeneric()
          : inner.list().ofMaxSize(MAXIMUM_LIST_SIZE).asGeneric();
    }
    if (type == int.class || type == Integer.class) {
      return Arbitraries.integers().greaterOrEqual(0).asGeneric();
    }
    if (type == long.class || type == Long.class) {
      return Arbitraries.longs().greaterOrEqual(0).asGeneric();
    }
    if (type == double.class || type == Double.class) {
      return Arbitraries.doubles().greaterOrEqual(0).asGeneric();
    }
    if (type == boolean.class || type == Boolean.class) {
      return Arbitraries.of(true, false).asGeneric();
    }
    if (type == String.class) {
      return Arbitraries.strings()
          .withCharRange('\0', '\ud7ff')
          .ofMaxLength(20)
          .map(text -> "a" + text)
          .asGeneric();
    }
    Class<?> plain = (Class<?>) type;
    return plain.isEnum() ? Arbitraries.of(plain.getEnumConstants()).asGeneric() : of(plain);
  }

  private static Object create(Class<?> type, List<Object> values) {
    try {
      Class<?>[] types =
          Arrays.stream(type.getRecordComponents())
              .map(RecordComponent::getType)
              .toArray(Class<?>[]::new);
      return type.getDeclaredConstructor(types).newInstance(values.toArray());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("Cannot create " + type, e);
    }
  }
}
