package slipfield.front.http;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import slipfield.log.Log;

/** Counts closed client connections by reason, and logs the counts from time to time. */
final class CloseCounts {
    private final Map<CloseReason, Long> counts = new EnumMap<>(CloseReason.class);
    private boolean changed;

    /** A connection was closed, or is about to be, for this reason. */
    void add(CloseReason reason) {
        counts.merge(reason, 1L, Long::sum);
        changed |= reason.notable();
    }

    /** Logs all counts since the start, unless only those of normal operation have changed since the last call. */
    void report() {
        if (!changed) {
            return;
        }
        changed = false;
        List<Object> fields = new ArrayList<>();
        counts.forEach((reason, count) -> {
            fields.add(reason.logName());
            fields.add(count);
        });
        Log.info("front.connections_closed", fields.toArray());
    }
}
