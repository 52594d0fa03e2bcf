package org.shallothook.transport.process;

import io.vavr.control.Try;
import java.lang.reflect.Proxy;
import org.shallothook.transport.logging.LogComponent;

/**
 * Makes the hang-up signal reload settings in place of ending the process.
 *
 * <p>The class that the runtime offers for this is not part of its documented interface, and so is
 * looked up by name; without it the signal ends the process as usual.
 *
 * <p>Stateless and thread-safe.
 */
public final class HangupSignal {
  private HangupSignal() {}

  /** Runs a task at each signal, on a thread of the runtime. */
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
