package merlinlever.common.net;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends the runtime unless someone handles it. The JDK's one way to it lies in a supported module without
 * a stable name, which the compiler warns of wherever it is written down: so it is looked up by name.
 */
public final class HangupSignal {

    private HangupSignal() {}

    /** Runs the task at each signal from here on, on a thread of the runtime's. */
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
            throw new IllegalStateException("this runtime knows no SIGHUP", e);
        }
    }
}
