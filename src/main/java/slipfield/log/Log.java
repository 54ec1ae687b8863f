package slipfield.log;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Lines for the people on call, on standard error; never one for each message. */
public final class Log {
    private Log() {
    }

    public static void line(String text) {
        System.err.println(Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + text);
    }
}
