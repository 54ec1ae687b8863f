package kestreldeal.net;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Lines for the people on call, on standard error; never one for each message. */
final class Log {
    private Log() {
    }

    static void line(String text) {
        System.err.println(Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + text);
    }
}
