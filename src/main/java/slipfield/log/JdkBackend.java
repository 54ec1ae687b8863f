package slipfield.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;

/**
 * The JDK's logging behind SLF4J, with a handler for the lines of libraries. The lines of this program are printed without a
 * handler: the JDK removes all handlers as soon as the process is asked to end, which is seconds before it ends. The root
 * logger's handler and formatter are not used, since creating them takes about 50 ms of CPU at the start.
 */
final class JdkBackend extends Handler {
    private static final String OWN = "slipfield";
    /** The loggers that get this handler, referenced here since the JDK garbage-collects loggers without a reference. */
    private static final Logger[] PARENTS = {Logger.getLogger(OWN), Logger.getLogger("io.netty")};

    private final Layout layout;

    private JdkBackend(Layout layout) {
        this.layout = layout;
    }

    static org.slf4j.Logger logger(Layout layout) {
        JdkBackend backend = new JdkBackend(layout);
        for (Logger parent : PARENTS) {
            parent.setUseParentHandlers(false);
            parent.addHandler(backend);
        }
        return LoggerFactory.getLogger(OWN);
    }

    /** Prints a line, whether or not the JDK has removed the handlers. */
    static void print(String line) {
        System.err.println(line);
    }

    @Override
    public void publish(LogRecord record) {
        print(record.getLoggerName().equals(OWN) ? record.getMessage() : libraryLine(record));
        boolean isWarning = record.getLevel().intValue() >= Level.WARNING.intValue();
        if (isWarning && record.getThrown() != null) {
            // Netty only logs what the listener of a future or a channel's initializer throws.
            FatalErrors.check(record.getLoggerName(), record.getThrown());
        }
    }

    private String libraryLine(LogRecord record) {
        String level = record.getLevel().intValue() >= Level.SEVERE.intValue() ? "error"
                : record.getLevel().intValue() >= Level.WARNING.intValue() ? "warn" : "info";
        return record.getThrown() == null
                ? layout.line(level, "library.says", "logger", record.getLoggerName(), "text", record.getMessage())
                : layout.line(level, "library.says", "logger", record.getLoggerName(), "text", record.getMessage(), "cause",
                        record.getThrown());
    }

    @Override
    public void flush() {
        System.err.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
