package slipfield.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.standin.Ledger;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** Senders as processes that get too little time, or none: every order taken has its end all the same, and none runs twice. */
@Timeout(400)
class CpuStarvationTest {
    private static final long GIVE_UP_MS = 3000;
    private static final long ENDS_MS = 60_000;
    private static final double EACH_PER_SECOND = 20;
    /** So many others want the core that the sender is on. */
    private static final int OTHERS = 4;
    private static final int FLEET = 10;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private final List<SenderProcess> senders = new ArrayList<>();
    private final List<Process> others = new ArrayList<>();

    private void start(int many, long giveUpMs, List<String> wrapper) throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(2, 1e6, 1000, giveUpMs, 400, 30), Optional.empty(), many);
        for (int i = 0; i < many; i++) {
            senders.add(new SenderProcess(world.folder(i), wrapper, SenderProcess.SMALL));
            senders.get(i).start();
        }
    }

    @AfterEach
    void close() {
        // Not by SIGKILL: timeout passes the signal on to what it runs.
        others.forEach(Process::destroy);
        senders.forEach(SenderProcess::close);
        world.close();
    }

    private void handIn() {
        for (int i = 0; i < senders.size(); i++) {
            world.desks(i).atRate(EACH_PER_SECOND);
        }
    }

    private void assertEveryOrderHasItsEnd() throws InterruptedException {
        for (int i = 0; i < senders.size(); i++) {
            world.desks(i).stop();
        }
        world.awaitEnds(ENDS_MS);
        Ledger.Account account = world.ledger().account();
        assertTrue(account.holds(), account.toString());
        assertTrue(account.taken() > 0, account.toString());
    }

    private static String log(SenderProcess sender) {
        try {
            return sender.log();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Stopped until what it holds is past its time, and let go again. */
    @Test
    void whatRanOutOfTimeWhileItWasStoppedIsEndedAndTold() throws Exception {
        start(1, GIVE_UP_MS, List.of());
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        handIn();
        Stub.await("orders are held", () -> world.ledger().account().taken() >= 10);
        senders.get(0).stop();
        Stub.await("their time is over", () -> world.ledger().overdue() >= 10);
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        senders.get(0).go();
        Stub.await("all of them have ended", () -> world.ledger().overdue() == 0);
        assertEveryOrderHasItsEnd();
        assertTrue(log(senders.get(0)).contains(" loop.late late_ms="), log(senders.get(0)));
        assertTrue(log(senders.get(0)).contains(" message.ended_late "), log(senders.get(0)));
    }

    /** On a core that four others want, and killed and started again there. */
    @Test
    void whatIsHeldOnAFifthOfACoreHasItsEnd() throws Exception {
        start(1, GIVE_UP_MS, SenderProcess.pinned(0));
        for (int i = 0; i < OTHERS; i++) {
            others.add(new ProcessBuilder("timeout", "300", "taskset", "-c", "0", "sh", "-c", "while :; do :; done").start());
        }
        handIn();
        Stub.await("orders are taken", () -> world.ledger().account().taken() >= 40);
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        Stub.await("orders are held", () -> world.ledger().account().lost() > 3);
        senders.get(0).kill();
        Stub.await("their time is over", () -> world.ledger().overdue() > 0);
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        senders.get(0).start();
        Stub.await("all of them have ended", () -> world.ledger().overdue() == 0);
        assertEveryOrderHasItsEnd();
    }

    /** Ten are killed at one moment with orders out and held, and start again with their journals. */
    @Test
    void tenThatAreKilledAtOnceEndAllThatTheyHeld() throws Exception {
        start(FLEET, 4 * GIVE_UP_MS, List.of());
        world.venues().get(0).mood(Venue.Mood.LATE);
        world.venues().get(1).mood(Venue.Mood.SILENT);
        handIn();
        Stub.await("orders are held", () -> world.ledger().account().lost() > 4 * FLEET);
        for (SenderProcess sender : senders) {
            sender.kill();
        }
        long held = world.ledger().account().lost();
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        for (SenderProcess sender : senders) {
            sender.start();
        }
        Stub.await("each has taken its journal up", () -> senders.stream().allMatch(s -> log(s).contains(" sender.ready ")));
        assertEveryOrderHasItsEnd();
        assertTrue(held > 0);
        assertEquals(0, world.ledger().overdue());
    }
}
