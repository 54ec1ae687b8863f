package slipfield.group.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import slipfield.group.GossipCodec;
import slipfield.rig.plan.Conditions;

/** What all members see together, on drawn networks. */
class SwimMemberTest {
    private static final int SEEDS = 8;
    private static final Conditions WHOLE = new Conditions(3, 25, 0, 0, 0, false);
    private static final Conditions HELD = new Conditions(0, 0, 0, 0, 0, true);

    /** Seven in ten die at one moment: those that are left all know when each had its turn, and hold no other for dead. */
    @ParameterizedTest
    @ValueSource(ints = {3, 14, 100})
    void theDeadAreKnownToAllAndNobodyElseIsDead(int size) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation world = new SwimSimulation(seed, size);
            world.until(20_000);
            assertEquals(0, world.falseDeaths());
            int dead = size * 7 / 10;
            for (int i = 0; i < dead; i++) {
                world.gone[i] = true;
            }
            double turns = size * SwimSettings.DEFAULT.periodMs() + 120_000;
            world.until(20_000 + turns);
            for (int i = 0; i < dead; i++) {
                assertEquals(world.living(), world.held(i, MemberState.DEAD), "member " + i + " of " + size + ", seed " + seed);
            }
            assertEquals(0, world.falseDeaths(), "seed " + seed);
            for (int i = 0; i < dead; i++) {
                world.begin(i, 2);
            }
            world.until(20_000 + 2 * turns);
            assertEquals(0, world.falseDeaths(), "back in a new life, seed " + seed);
        }
    }

    /** A fifth of all notes is lost, and some come twice: of a thousand words hardly one holds one that lives for dead. */
    @Test
    void lossAloneKillsNobody() {
        long wrong = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation world = new SwimSimulation(seed, 20);
            world.all((from, to) -> new Conditions(3, 25, 0.2, 0.1, 0, false));
            for (double at = 5000; at <= 180_000; at += 5000) {
                wrong += world.until(at).falseDeaths();
            }
        }
        assertTrue(wrong <= 100, wrong + " of " + SEEDS * 36 * 20 * 19 + " words");
    }

    /** Half a second late and out of order they still tell who is there. */
    @Test
    void lateNotesKillNobody() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation world = new SwimSimulation(seed, 12);
            world.all((from, to) -> new Conditions(500, 100, 0, 0.3, 0, false));
            assertEquals(0, world.until(120_000).falseDeaths());
        }
    }

    /** One that was stopped takes nobody for dead when it goes on, and says that it is there. */
    @Test
    void oneThatWasStoppedTakesItselfToBeSlow() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation world = new SwimSimulation(seed, 14);
            world.until(20_000);
            world.stopped[3] = true;
            world.until(80_000);
            assertEquals(13, world.held(3, MemberState.DEAD), "the others have given it up, seed " + seed);
            world.goOn(3);
            for (double at = 80_000; at < 84_000; at += 100) {
                world.until(at);
                for (int i = 0; i < 14; i++) {
                    assertTrue(world.members.get(3).state(i) != MemberState.DEAD, "seed " + seed);
                }
            }
            assertTrue(world.members.get(3).slowness() > 0);
            world.until(130_000);
            assertEquals(0, world.falseDeaths(), "seed " + seed);
        }
    }

    /** Two halves that don't hear each other hold each other for dead; when they do, all are there again. */
    @Test
    void twoHalvesComeTogether() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SwimSimulation world = new SwimSimulation(seed, 14);
            world.until(10_000);
            world.all((from, to) -> from % 2 == to % 2 ? WHOLE : HELD);
            world.until(120_000);
            assertEquals(7, world.held(0, MemberState.DEAD), "seed " + seed);
            assertEquals(7, world.members.get(0).presentMembers());
            world.all((from, to) -> WHOLE);
            world.until(220_000);
            assertEquals(0, world.falseDeaths(), "seed " + seed);
        }
    }

    /** Notes to one get lost, its own arrive: the others ask for it and are not answered, and it hears nothing of that. */
    @Test
    void oneThatHearsNothingIsGivenUpByAll() {
        SwimSimulation world = new SwimSimulation(4, 10);
        world.until(10_000);
        world.all((from, to) -> to == 5 ? HELD : WHOLE);
        world.until(130_000);
        assertEquals(9, world.held(5, MemberState.DEAD));
        world.all((from, to) -> WHOLE);
        world.until(230_000);
        assertEquals(0, world.falseDeaths());
    }

    /** What is said of an earlier life does not touch this one; a clock that was set back makes up for it. */
    @Test
    void anOlderLifeSaysNothingOfThisOne() {
        SwimSimulation world = new SwimSimulation(5, 5);
        world.until(5000);
        world.gone[1] = true;
        world.begin(1, 50);
        world.until(30_000);
        world.members.get(0).received(world.now(), 2, new GossipMessage(GossipMessage.Kind.ACK, 2, 999, 2,
                java.util.List.of(new MembershipRumor(1, MemberState.DEAD, 49))));
        assertEquals(MemberState.ALIVE, world.members.get(0).state(1));
        world.gone[1] = true;
        world.begin(1, 3);
        world.until(60_000);
        assertEquals(0, world.falseDeaths());
        assertTrue(world.members.get(1).view(world.now()).get(1).incarnation() > 50);
    }

    @Test
    void oneThatSaysItGoesIsNotSuspectedFirst() {
        SwimSimulation world = new SwimSimulation(6, 8);
        world.until(10_000);
        world.members.get(2).leave();
        world.until(10_100);
        world.gone[2] = true;
        world.until(20_000);
        assertEquals(7, world.held(2, MemberState.LEFT));
    }

    /** Bytes a second and member are as many whatever the size, and every note is within what the platform carries. */
    @ParameterizedTest
    @ValueSource(ints = {3, 14, 100, 300})
    void aMembersNotesAreAsManyWhateverTheSize(int size) {
        SwimSimulation world = new SwimSimulation(7, size);
        world.until(60_000);
        double perSecond = world.bytes / 60.0 / size;
        assertTrue(perSecond > 20 && perSecond < 140, perSecond + " bytes a second at " + size);
        assertTrue(world.longest <= GossipCodec.MAX_BYTES);
    }
}
