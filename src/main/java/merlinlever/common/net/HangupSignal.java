package merlinlever.common.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, which would otherwise terminate the JVM. The JDK supports signal handlers only through
 * {@code sun.misc.Signal}; the compiler warns of each direct use of that class, so this class uses reflection.
 */
public final class HangupSignal {

    private HangupSignal() {}

    /** Runs the task at each SIGHUP from now on, on a thread of the JVM. */
    public static void onHangup(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler runTask = (self, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    task.run();
                }
                return null;
            };
            signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, runTask));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not support SIGHUP handlers", e);
        }
    }
}
