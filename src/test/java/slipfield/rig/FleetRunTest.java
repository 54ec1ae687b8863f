package slipfield.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.rig.check.Untried;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Fault.Kind;
import slipfield.rig.plan.Schedule;
import slipfield.standin.Witness.What;

/** Three real senders, and each kind of fault once: all rules hold, by what the others saw. */
@Timeout(180)
class FleetRunTest {
    @TempDir
    private Path folder;

    private static Fault fault(Kind kind, long at, long length, int sender, int other, double size) {
        return new Fault(kind, at, length, kind.namesSenders() ? List.of(sender) : List.of(),
                kind.namesOthers() ? List.of(other) : List.of(), size);
    }

    /** Two venues of three are out, all senders are killed with what waits for them, and as much comes as the venues take. */
    @Test
    void whatRestartsFindUntriedIsTried() throws Exception {
        Schedule schedule = new Schedule(3, 3, 12_000, List.of(
                new Fault(Kind.VENUE_DOWN, 1000, 4000, List.of(), List.of(0, 1), 0),
                new Fault(Kind.KILL, 4500, 500, List.of(), List.of(), 0)));
        FleetRun.Result result = new FleetRun(schedule, folder, 60, 1).play();
        assertEquals(List.of(), result.violations());
        List<Untried> restarts = Untried.count(result.record());
        assertEquals(3, restarts.size());
        assertTrue(restarts.stream().mapToInt(Untried::found).sum() >= 20, restarts.toString());
    }

    @Test
    void allRulesHoldWhateverGoesWrong() throws Exception {
        Schedule schedule = new Schedule(3, 3, 9000, List.of(
                fault(Kind.VENUE_SILENT, 500, 1500, 0, 0, 0), fault(Kind.VENUE_REFUSE, 500, 1000, 1, 1, 0),
                fault(Kind.VENUE_RESET, 800, 500, 2, 2, 0), fault(Kind.VENUE_MUTE, 700, 1200, 1, 0, 0),
                fault(Kind.KILL, 1500, 300, 1, 0, 0),
                fault(Kind.VENUE_MUTE, 2500, 1000, 2, 0, 0), fault(Kind.VENUE_DRAIN, 3000, 5000, 0, 1, 0),
                fault(Kind.STOP, 3500, 1200, 2, 0, 0), fault(Kind.VENUE_DOWN, 4000, 1500, 0, 2, 0),
                fault(Kind.VENUE_SLOW, 5500, 1000, 0, 0, 100), fault(Kind.AGENT_SILENT, 5500, 1000, 1, 0, 0),
                fault(Kind.LOSE, 8000, 300, 0, 0, 0)));
        FleetRun.Result result = new FleetRun(schedule, folder, 60, 1).play();
        assertEquals(List.of(), result.violations());
        assertTrue(result.holds(), result.account().toString());
        assertTrue(result.account().delivered() > 100, result.account().toString());
        // Each fault did what it says, as others saw it.
        for (What what : List.of(What.RUN, What.UNSERVED, What.TOLD_DRAIN, What.TOLD_SERVING, What.ENDED, What.DOWN, What.UP)) {
            assertTrue(result.record().stream().anyMatch(e -> e.what() == what), what + " was not seen");
        }
    }
}
