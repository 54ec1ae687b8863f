package slipfield.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import slipfield.log.Log;

/**
 * SIGHUP, which by default ends a JVM. Java has no supported interface to signals, so the JDK's own one is
 * called by reflection: the compiler warns of any mention of it, and a JVM without it only loses the reload.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /** Runs this at each SIGHUP from now on, one at a time and in order, on a thread of its own. */
    static void handle(Runnable told) {
        ExecutorService thread = Executors.newSingleThreadExecutor(run -> {
            Thread daemon = new Thread(run, "reload");
            daemon.setDaemon(true);
            return daemon;
        });
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            thread.execute(told);
                            return null;
                        }
                        // The JDK keeps handlers in a table.
                        return method.getName().equals("equals") ? (Object) (self == args[0]) : handler.hashCode();
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            if (before == handler.getField("SIG_IGN").get(null)) {
                // As nohup does: the JVM leaves it so, and a new configuration is never read.
                Log.warn("signal.ignored", "signal", "HUP", "since", "the process was started with it ignored");
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            Log.warn("signal.unsupported", "signal", "HUP", "cause", e);
        }
    }
}
