package slipfield.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import slipfield.log.Log;

/**
 * Handles SIGHUP, which by default ends a JVM. Java has no supported interface to signals. The JDK's internal one is called
 * by reflection, since the compiler warns of any direct use of it; on a JVM without it only the reload is unavailable.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /** Runs the action once for each SIGHUP from now on, one after the other, on a separate executor. */
    static void handle(Runnable action) {
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread daemon = new Thread(task, "reload");
            daemon.setDaemon(true);
            return daemon;
        });
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            executor.execute(action);
                            return null;
                        }
                        // The JDK calls equals and hashCode too, since it keeps handlers in a hash table.
                        return method.getName().equals("equals") ? (Object) (self == args[0]) : handler.hashCode();
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            if (previous == handler.getField("SIG_IGN").get(null)) {
                // nohup, for example, ignores SIGHUP. The JVM then keeps it ignored, and a new configuration is never read.
                Log.warn("signal.ignored", "signal", "HUP", "since", "it was already ignored when the process started");
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            Log.warn("signal.unsupported", "signal", "HUP", "cause", e);
        }
    }
}
