package org.shallothook.transport.process;

import io.vavr.control.Try;
import java.lang.reflect.Proxy;
import org.shallothook.transport.logging.LogComponent;

/**
 * Handles SIGHUP with a task, such as reloading settings, instead of ending the process.
 *
 * <p>The JDK's signal API is not part of its documented interface, so it is looked up by name; if
 * it is missing, the signal ends the process as usual.
 *
 * <p>Stateless and thread-safe.
 */
public final class HangupSignal {
  private HangupSignal() {}

  /** Runs a task for each signal, on a thread of the JVM. */
  public static void handle(Runnable task) {
    Try.run(() -> register(task))
        .onFailure(
            failure ->
                LogComponent.PROCESS.warn("SIGHUP cannot be handled: {}.", failure.getMessage()));
  }

  private static void register(Runnable task) throws ReflectiveOperationException {
    Class<?> signalType = Class.forName("sun.misc.Signal");
    Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
    Object handler =
        Proxy.newProxyInstance(
            HangupSignal.class.getClassLoader(),
            new Class<?>[] {handlerType},
            (proxy, method, arguments) -> {
              task.run();
              return null;
            });
    Object signal = signalType.getConstructor(String.class).newInstance("HUP");
    Object unusedPrevious =
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
  }
}
