package slipfield.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.slf4j.LoggerFactory;

/**
 * The JDK's logging behind SLF4J, with a handler of its own for the libraries' lines; this program's are printed without one,
 * since the JDK takes all handlers away as soon as the process is told to end, seconds before it does. The root's
 * handler and formatter, which would cost a start some 50 ms of CPU, are not asked for.
 */
final class JdkBackend extends Handler {
    private static final String OWN = "slipfield";
    /** The libraries' loggers; held here, since the JDK forgets what nobody holds. */
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

    /** Prints a line, whatever has become of the handlers. */
    static void print(String line) {
        System.err.println(line);
    }

    @Override
    public void publish(LogRecord told) {
        print(told.getLoggerName().equals(OWN) ? told.getMessage() : foreign(told));
    }

    private String foreign(LogRecord told) {
        String level = told.getLevel().intValue() >= Level.SEVERE.intValue() ? "error"
                : told.getLevel().intValue() >= Level.WARNING.intValue() ? "warn" : "info";
        return told.getThrown() == null
                ? layout.line(level, "library.says", "logger", told.getLoggerName(), "text", told.getMessage())
                : layout.line(level, "library.says", "logger", told.getLoggerName(), "text", told.getMessage(), "cause",
                        told.getThrown());
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
