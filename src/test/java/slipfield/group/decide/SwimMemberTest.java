package slipfield.group.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slipfield.group.GossipCodec;
import slipfield.rig.plan.Conditions;

/** The views of all members of a group, on simulated networks with random delays and losses. */
class SwimMemberTest {
    private static final int SEEDS = 8;
    private static final Conditions CONNECTED = new Conditions(3, 25, 0, 0, 0, false);
    private static final Conditions CUT = new Conditions(0, 0, 0, 0, 0, true);

    /**
     * Seven in ten members are killed at one moment. Once each of the others has probed every member, all know which are dead,
     * and no running member is assumed dead.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 14, 100})
    void allMembersKnowTheDeadOnesAndNoOthersAreAssumedDead(int size) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation simulation = new SwimSimulation(seed, size);
            simulation.until(20_000);
            assertEquals(0, simulation.falseDeaths());
            int dead = size * 7 / 10;
            for (int i = 0; i < dead; i++) {
                simulation.killed[i] = true;
            }
            double fullCycleMs = size * SwimSettings.DEFAULT.periodMs() + 120_000;
            simulation.until(20_000 + fullCycleMs);
            for (int i = 0; i < dead; i++) {
                assertEquals(simulation.countRunning(), simulation.countState(i, MemberState.DEAD),
                        "member " + i + " of " + size + ", seed " + seed);
            }
            assertEquals(0, simulation.falseDeaths(), "seed " + seed);
            for (int i = 0; i < dead; i++) {
                simulation.start(i, 2);
            }
            simulation.until(20_000 + 2 * fullCycleMs);
            assertEquals(0, simulation.falseDeaths(), "restarted, seed " + seed);
        }
    }

    /** With a fifth of all messages lost and some duplicated, fewer than one state in a thousand is a false death. */
    @Test
    void lostMessagesAloneMakeHardlyAnyMemberLookDead() {
        long wrong = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation simulation = new SwimSimulation(seed, 20);
            simulation.setLinks((from, to) -> new Conditions(3, 25, 0.2, 0.1, 0, false));
            for (double at = 5000; at <= 180_000; at += 5000) {
                wrong += simulation.until(at).falseDeaths();
            }
        }
        assertTrue(wrong <= 100, wrong + " of " + SEEDS * 36 * 20 * 19 + " states");
    }

    /** Messages that arrive half a second late and out of order are enough to tell that all members are there. */
    @Test
    void lateMessagesMakeNoMemberLookDead() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation simulation = new SwimSimulation(seed, 12);
            simulation.setLinks((from, to) -> new Conditions(500, 100, 0, 0.3, 0, false));
            assertEquals(0, simulation.until(120_000).falseDeaths());
        }
    }

    /** A member that was stopped assumes nobody dead when it resumes, and refutes that it is dead itself. */
    @Test
    void aMemberThatWasStoppedAssumesItselfToBeSlow() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation simulation = new SwimSimulation(seed, 14);
            simulation.until(20_000);
            simulation.stopped[3] = true;
            simulation.until(80_000);
            assertEquals(13, simulation.countState(3, MemberState.DEAD), "the others assume it dead, seed " + seed);
            simulation.resume(3);
            for (double at = 80_000; at < 84_000; at += 100) {
                simulation.until(at);
                for (int i = 0; i < 14; i++) {
                    assertTrue(simulation.members.get(3).state(i) != MemberState.DEAD, "seed " + seed);
                }
            }
            assertTrue(simulation.members.get(3).slowness() > 0);
            simulation.until(130_000);
            assertEquals(0, simulation.falseDeaths(), "seed " + seed);
        }
    }

    /** Two halves of a partitioned group assume each other dead. Once the partition heals, all members are alive again. */
    @Test
    void aPartitionedGroupHeals() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation simulation = new SwimSimulation(seed, 14);
            simulation.until(10_000);
            simulation.setLinks((from, to) -> from % 2 == to % 2 ? CONNECTED : CUT);
            simulation.until(120_000);
            assertEquals(7, simulation.countState(0, MemberState.DEAD), "seed " + seed);
            assertEquals(7, simulation.members.get(0).presentMembers());
            simulation.setLinks((from, to) -> CONNECTED);
            simulation.until(220_000);
            assertEquals(0, simulation.falseDeaths(), "seed " + seed);
        }
    }

    /** All messages to one member are lost, while its own arrive: it answers no probe, so all others assume it dead. */
    @Test
    void aMemberThatReceivesNothingIsAssumedDeadByAll() {
        SwimSimulation simulation = new SwimSimulation(4, 10);
        simulation.until(10_000);
        simulation.setLinks((from, to) -> to == 5 ? CUT : CONNECTED);
        simulation.until(130_000);
        assertEquals(9, simulation.countState(5, MemberState.DEAD));
        simulation.setLinks((from, to) -> CONNECTED);
        simulation.until(230_000);
        assertEquals(0, simulation.falseDeaths());
    }

    /**
     * A rumor about an earlier incarnation does not affect the current one. A member that restarts with a lower incarnation,
     * because its clock was set back, moves past the earlier one.
     */
    @Test
    void aRumorAboutAnEarlierIncarnationIsIgnored() {
        SwimSimulation simulation = new SwimSimulation(5, 5);
        simulation.until(5000);
        simulation.killed[1] = true;
        simulation.start(1, 50);
        simulation.until(30_000);
        simulation.members.get(0).received(simulation.now(), 2, new GossipMessage(GossipMessage.Kind.ACK, 2, 999, 2,
                java.util.List.of(new MembershipRumor(1, MemberState.DEAD, 49))));
        assertEquals(MemberState.ALIVE, simulation.members.get(0).state(1));
        simulation.killed[1] = true;
        simulation.start(1, 3);
        simulation.until(60_000);
        assertEquals(0, simulation.falseDeaths());
        assertTrue(simulation.members.get(1).view(simulation.now()).get(1).incarnation() > 50);
    }

    @Test
    void aMemberThatAnnouncesItsLeavingIsNotSuspectedFirst() {
        SwimSimulation simulation = new SwimSimulation(6, 8);
        simulation.until(10_000);
        simulation.members.get(2).leave();
        simulation.until(10_100);
        simulation.killed[2] = true;
        simulation.until(20_000);
        assertEquals(7, simulation.countState(2, MemberState.LEFT));
    }

    /** The bytes per second and member don't grow with the group's size, and every message fits into a datagram. */
    @ParameterizedTest
    @ValueSource(ints = {3, 14, 100, 300})
    void aMembersTrafficDoesNotGrowWithTheGroup(int size) {
        SwimSimulation simulation = new SwimSimulation(7, size);
        simulation.until(60_000);
        double perSecond = simulation.bytes / 60.0 / size;
        assertTrue(perSecond > 20 && perSecond < 140, perSecond + " bytes per second at size " + size);
        assertTrue(simulation.longest <= GossipCodec.MAX_BYTES);
    }
}
