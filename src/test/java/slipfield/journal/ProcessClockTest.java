package slipfield.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The process's clock against the wall clock that it was started from. */
class ProcessClockTest {
    private static final long MS = 1_000_000;

    private final AtomicLong nanos = new AtomicLong(7);

    /** A part of a millisecond that was dropped at the start made each deadline up to a millisecond early. */
    @Test
    void doesNotLagBehindTheWallClockByThePartOfAMillisecondAtTheStart() {
        ProcessClock clock = ProcessClock.start(nanos::get, () -> 1000 * MS + 900_000, 0);
        assertEquals(1000, clock.wallMs());
        nanos.addAndGet(200_000);
        assertEquals(1001, clock.wallMs());
    }

    /** A process that is held up between the two readings at its start would count by a wrong time for as long as it runs. */
    @Test
    void readsBothClocksAgainIfItIsHeldUpBetweenThem() {
        Iterator<Long> holdUps = List.of(50 * MS, 80 * MS, 0L).iterator();
        ProcessClock clock = ProcessClock.start(nanos::get, () -> {
            nanos.addAndGet(holdUps.next());
            return 5000 * MS + nanos.get();
        }, 0);
        assertEquals(5000 + nanos.get() / MS, clock.wallMs());
        assertEquals(5000, clock.reference().wallMs() - clock.reference().monoMs());
    }
}
