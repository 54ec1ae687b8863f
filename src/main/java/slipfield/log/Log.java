package slipfield.log;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;

/**
 * Events for the people on call, one a line on standard error; never one for each message. An event has a name that lasts,
 * such as {@code journal.write_failed}, and fields, given as name and value in turn; {@code docs/operate/logging.md} lists
 * them. A warning or error is told ten times, then once a second at most, with how many were passed over: peers, and a full
 * disk, can cause them without end.
 */
public final class Log {
    private static final Layout LAYOUT = Layout.named(System.getenv("SLIPFIELD_LOG"));
    private static final Logger LOGGER = JdkBackend.logger(LAYOUT);
    private static final Map<String, EventRateLimit> LIMITS = new ConcurrentHashMap<>();

    private Log() {
    }

    /** Something changed that is as it should be. */
    public static void info(String event, Object... fields) {
        if (LOGGER.isInfoEnabled()) {
            JdkBackend.print(LAYOUT.line("info", event, fields));
        }
    }

    /** Something is wrong, and is borne. */
    public static void warn(String event, Object... fields) {
        Object[] told = bounded(event, fields);
        if (told != null && LOGGER.isWarnEnabled()) {
            JdkBackend.print(LAYOUT.line("warn", event, told));
        }
    }

    /** Something is wrong that costs messages their order, or the sender its work. */
    public static void error(String event, Object... fields) {
        Object[] told = bounded(event, fields);
        if (told != null && LOGGER.isErrorEnabled()) {
            JdkBackend.print(LAYOUT.line("error", event, told));
        }
    }

    /** The fields to tell, with how many events were passed over before; null: this one is passed over too. */
    private static Object[] bounded(String event, Object... fields) {
        long passedOver = LIMITS.computeIfAbsent(event, e -> new EventRateLimit()).acquire(System.nanoTime() / 1_000_000);
        if (passedOver <= 0) {
            return passedOver < 0 ? null : fields;
        }
        Object[] more = Arrays.copyOf(fields, fields.length + 2);
        more[fields.length] = "passed_over";
        more[fields.length + 1] = passedOver;
        return more;
    }
}
