package slipfield.log;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;

/**
 * Logs events for operators, one line each, on standard error; never one per message. An event has a stable name, such as
 * {@code journal.write_failed}, and fields, given as alternating names and values; {@code docs/operate/logging.md} lists them. A
 * warning or error is logged ten times, then at most once per second with the number of suppressed ones, since peers or a full
 * disk can cause any number of them.
 */
public final class Log {
    private static final Layout LAYOUT = Layout.named(System.getenv("SLIPFIELD_LOG"));
    private static final Logger LOGGER = JdkBackend.logger(LAYOUT);
    private static final Map<String, EventRateLimit> LIMITS = new ConcurrentHashMap<>();

    private Log() {
    }

    /** Logs a change in normal operation. */
    public static void info(String event, Object... fields) {
        if (LOGGER.isInfoEnabled()) {
            JdkBackend.print(LAYOUT.line("info", event, fields));
        }
    }

    /** Logs a problem that the sender can handle. */
    public static void warn(String event, Object... fields) {
        Object[] limited = limit(event, fields);
        if (limited != null && LOGGER.isWarnEnabled()) {
            JdkBackend.print(LAYOUT.line("warn", event, limited));
        }
    }

    /** Logs a problem because of which messages may get out of order or the sender may not be able to work. */
    public static void error(String event, Object... fields) {
        Object[] limited = limit(event, fields);
        if (limited != null && LOGGER.isErrorEnabled()) {
            JdkBackend.print(LAYOUT.line("error", event, limited));
        }
    }

    /** The fields to log, with the number of events suppressed before; null if this event is suppressed too. */
    private static Object[] limit(String event, Object... fields) {
        long suppressed = LIMITS.computeIfAbsent(event, e -> new EventRateLimit()).acquire(System.nanoTime() / 1_000_000);
        if (suppressed <= 0) {
            return suppressed < 0 ? null : fields;
        }
        Object[] more = Arrays.copyOf(fields, fields.length + 2);
        more[fields.length] = "passed_over";
        more[fields.length + 1] = suppressed;
        return more;
    }
}
