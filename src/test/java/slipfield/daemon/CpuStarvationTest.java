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

/**
 * Senders as processes that get too little CPU time, or none at all, or are killed: every accepted order still gets its final
 * answer, and none runs twice.
 */
@Timeout(400)
class CpuStarvationTest {
    private static final long GIVE_UP_MS = 3000;
    private static final long ENDS_MS = 60_000;
    private static final double EACH_PER_SECOND = 20;
    /** Number of busy processes on the core on which the sender runs. */
    private static final int BUSY_PROCESSES = 4;
    private static final int FLEET = 10;

    @TempDir
    private Path folder;
    private TrialWorld world;
    private final List<SenderProcess> senders = new ArrayList<>();
    private final List<Process> busyProcesses = new ArrayList<>();

    private void start(int count, long giveUpMs, List<String> wrapper) throws Exception {
        world = new TrialWorld(folder, new TrialWorld.Size(2, 1e6, 1000, giveUpMs, 400, 30), Optional.empty(), count);
        for (int i = 0; i < count; i++) {
            senders.add(new SenderProcess(world.folder(i), wrapper, SenderProcess.SMALL));
            senders.get(i).start();
        }
    }

    @AfterEach
    void close() {
        // Not SIGKILL: the command timeout forwards SIGTERM to its child.
        busyProcesses.forEach(Process::destroy);
        senders.forEach(SenderProcess::close);
        world.close();
    }

    private void startSubmitting() {
        for (int i = 0; i < senders.size(); i++) {
            world.desks(i).atRate(EACH_PER_SECOND);
        }
    }

    private void assertEveryOrderIsAnswered() throws InterruptedException {
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

    /** The process is stopped until its pending orders are past their deadline, and then continued. */
    @Test
    void answersOrdersWhoseDeadlinePassedWhileStopped() throws Exception {
        start(1, GIVE_UP_MS, List.of());
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        startSubmitting();
        Stub.await("orders are pending", () -> world.ledger().account().taken() >= 10);
        senders.get(0).stop();
        Stub.await("their deadline is over", () -> world.ledger().overdue() >= 10);
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        senders.get(0).go();
        Stub.await("all of them have their final answer", () -> world.ledger().overdue() == 0);
        assertEveryOrderIsAnswered();
        assertTrue(log(senders.get(0)).contains(" loop.late late_ms="), log(senders.get(0)));
        assertTrue(log(senders.get(0)).contains(" message.ended_late "), log(senders.get(0)));
    }

    /** The process shares a core with four busy processes, is killed, and is started again on the same core. */
    @Test
    void answersEveryOrderOnAFifthOfACore() throws Exception {
        start(1, GIVE_UP_MS, SenderProcess.pinned(0));
        for (int i = 0; i < BUSY_PROCESSES; i++) {
            busyProcesses.add(new ProcessBuilder("timeout", "300", "taskset", "-c", "0", "sh", "-c", "while :; do :; done")
                    .start());
        }
        startSubmitting();
        Stub.await("orders are accepted", () -> world.ledger().account().taken() >= 40);
        world.venues().forEach(v -> v.mood(Venue.Mood.SILENT));
        Stub.await("orders are pending", () -> world.ledger().account().lost() > 3);
        senders.get(0).kill();
        Stub.await("their deadline is over", () -> world.ledger().overdue() > 0);
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        senders.get(0).start();
        Stub.await("all of them have their final answer", () -> world.ledger().overdue() == 0);
        assertEveryOrderIsAnswered();
    }

    /** Ten senders are killed at once, with calls in flight and orders pending, and restart with their journals. */
    @Test
    void answersEveryOrderAfterTenSendersAreKilledAtOnce() throws Exception {
        start(FLEET, 4 * GIVE_UP_MS, List.of());
        world.venues().get(0).mood(Venue.Mood.LATE);
        world.venues().get(1).mood(Venue.Mood.SILENT);
        startSubmitting();
        Stub.await("orders are pending", () -> world.ledger().account().lost() > 4 * FLEET);
        for (SenderProcess sender : senders) {
            sender.kill();
        }
        long held = world.ledger().account().lost();
        world.venues().forEach(v -> v.mood(Venue.Mood.UP));
        for (SenderProcess sender : senders) {
            sender.start();
        }
        Stub.await("each has restored its journal", () -> senders.stream().allMatch(s -> log(s).contains(" sender.ready ")));
        assertEveryOrderIsAnswered();
        assertTrue(held > 0);
        assertEquals(0, world.ledger().overdue());
    }
}
