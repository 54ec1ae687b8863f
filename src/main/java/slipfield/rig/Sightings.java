package slipfield.rig;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import slipfield.rig.check.Event;
import slipfield.standin.Witness;

/** All that the parties of a run saw, with its time from the start of the run. Any thread writes to it. */
final class Sightings implements Witness {
    private final long startNanos = System.nanoTime();
    private final Instant since = Instant.now();
    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

    @Override
    public void saw(What what, String order, int sender, int venue, double value) {
        events.add(new Event(nowMs(), what, order, sender, venue, value));
    }

    /** When the run began, by the wall clock. */
    Instant since() {
        return since;
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** So far. */
    List<Event> events() {
        return List.copyOf(events);
    }
}
