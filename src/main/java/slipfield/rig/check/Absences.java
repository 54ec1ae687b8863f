package slipfield.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When each sender could not end anything: from a signal that ends or stops its process until it is back, and a while longer.
 * Nothing is overdue meanwhile (PROTOCOL, "The rules on sockets"). Times in ms of the record.
 */
final class Absences {
    /** So long after a sender is back nothing is overdue yet. */
    private static final double GRACE_MS = 1500;

    private record Absence(double fromMs, double untilMs) {
    }

    private final Map<Integer, List<Absence>> bySender = new HashMap<>();

    /** Reads a record, which is in the order of time. */
    Absences(List<Event> record) {
        Map<Integer, Double> since = new HashMap<>();
        for (Event e : record) {
            switch (e.what()) {
                case TERMINATED, ENDED, PAUSED -> since.putIfAbsent(e.sender(), e.atMs());
                case BACK, CONTINUED -> {
                    Double from = since.remove(e.sender());
                    if (from != null) {
                        add(e.sender(), from, e.atMs() + GRACE_MS);
                    }
                }
                default -> { }
            }
        }
        since.forEach((sender, from) -> add(sender, from, Double.POSITIVE_INFINITY));
    }

    private void add(int sender, double fromMs, double untilMs) {
        bySender.computeIfAbsent(sender, s -> new ArrayList<>()).add(new Absence(fromMs, untilMs));
    }

    /** When what this sender owes at {@code dueMs} is due, absences counted. */
    double due(int sender, double dueMs) {
        double due = dueMs;
        for (Absence absence : bySender.getOrDefault(sender, List.of())) {
            if (absence.fromMs <= due && due < absence.untilMs) {
                due = absence.untilMs;
            }
        }
        return due;
    }
}
