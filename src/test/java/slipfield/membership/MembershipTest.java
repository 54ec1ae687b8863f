package slipfield.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The merged view, by a clock that the test turns. */
class MembershipTest {
    private static final MembershipRules RULES = new MembershipRules(1000, 60_000, 30_000, 0.5, 10_000, 30_000);
    private final Membership view = new Membership(RULES, List.of("platform", "consul"));

    static Instance instance(int n, Status status) {
        return new Instance("e" + n, "127.0.0.1:" + (9000 + n), 7, "m", "a", 1, status);
    }

    private static List<Instance> all(int count, Status... first) {
        return IntStream.range(0, count).mapToObj(n -> instance(n, n < first.length ? first[n] : Status.PASSING))
                .collect(Collectors.toList());
    }

    private String used() {
        return view.members().stream().filter(Member::used).map(m -> m.endpoint().id())
                .collect(Collectors.joining(" "));
    }

    private Member.Reason why(int n) {
        return view.members().stream().filter(m -> m.endpoint().id().equals("e" + n)).findFirst().orElseThrow().reason();
    }

    @Test
    void whatEitherSourceStopsIsNotUsed() {
        view.update(0, "platform", all(4));
        view.update(0, "consul", all(4));
        assertEquals("e0 e1 e2 e3", used());
        Membership.Change change = view.update(5, "consul", all(4, Status.CRITICAL));
        assertEquals("e1 e2 e3", used());
        assertEquals(List.of("e0"), change.members().stream().map(Member::id).toList(), "only what has changed");
        view.update(6, "platform", all(4, Status.PASSING, Status.DRAINING));
        assertEquals("e2 e3", used());
        assertEquals(Member.Reason.CRITICAL, why(0));
        assertEquals(Member.Reason.DRAINING, why(1));
    }

    @Test
    void theFirstSourcesWordOnAttributesHoldsAndItsIdsStandAsTheyAre() {
        view.update(0, "consul", List.of(new Instance("s/n/x", "127.0.0.1:9000", 7, "k", "z", 9, Status.PASSING),
                new Instance("s/n/y", "127.0.0.1:9001", 7, "k", "z", 9, Status.PASSING)));
        view.update(0, "platform", all(1));
        assertEquals(List.of("consul/s/n/x", "consul/s/n/y"), view.members().stream().map(Member::id).toList());
        assertEquals("a", view.members().get(0).endpoint().zone());
        assertEquals("z", view.members().get(1).endpoint().zone());
        assertEquals("platform", view.members().get(0).statusBySource().keySet().iterator().next());
    }

    @Test
    void aSourceThatFailsForLongKeepsItsWordAndItsAgeIsTold() {
        view.update(1000, "consul", all(3));
        for (int s = 1; s < 3600; s++) {
            view.sourceFailed("consul", "unreachable");
            assertTrue(view.tick(1000 + s * 1000L).isEmpty());
        }
        assertEquals("e0 e1 e2", used());
        Membership.SourceState state = view.sourceStates(3_601_000).get("consul");
        assertEquals(3_600_000, state.ageMs());
        assertEquals("unreachable", state.error().orElseThrow());
        view.sourceConfirmed(3_601_000, "consul");
        assertEquals(0, view.sourceStates(3_601_000).get("consul").ageMs());
    }

    @Test
    void anEmptyListIsHeldForAsLongAsItLasts() {
        view.update(0, "consul", all(3));
        view.update(1, "consul", List.of());
        assertEquals("e0 e1 e2", used());
        assertEquals(Member.Reason.HELD, why(0));
        assertTrue(view.heldPools().containsKey(7L));
        view.tick(3_600_000);
        assertEquals("e0 e1 e2", used());
        view.update(3_600_001, "consul", all(3));
        view.tick(3_700_000);
        assertEquals("e0 e1 e2", used());
        assertEquals(Member.Reason.STEADY, why(0));
        assertTrue(view.heldPools().isEmpty());
    }

    @Test
    void aPoolThatIsDrainedOnPurposeEmptiesAtOnce() {
        view.update(0, "consul", all(3));
        view.update(1, "consul", all(3, Status.DRAINING, Status.DRAINING, Status.DRAINING));
        assertEquals("", used());
        assertTrue(view.heldPools().isEmpty());
    }

    @Test
    void whatIsDrainedLeavesAlsoWhereTheRestIsHeld() {
        view.update(0, "consul", all(4));
        view.update(1, "consul", all(4, Status.DRAINING, Status.CRITICAL, Status.CRITICAL, Status.CRITICAL));
        assertEquals("e1 e2 e3", used());
    }

    @Test
    void aShrinkBeyondTheShareIsHeldAndAcceptedOnceItHasStood() {
        view.update(0, "consul", all(6));
        Status[] four = {Status.CRITICAL, Status.CRITICAL, Status.CRITICAL, Status.CRITICAL};
        view.update(1, "consul", all(6, four));
        assertEquals("e0 e1 e2 e3 e4 e5", used());
        assertEquals(30_001, view.nextTickMs());
        view.tick(30_000);
        assertEquals("e0 e1 e2 e3 e4 e5", used());
        view.tick(30_001);
        assertEquals("e4 e5", used());
        assertTrue(view.heldPools().isEmpty());
    }

    @Test
    void whatGoesOneByOneWithinTheWindowIsAShrinkToo() {
        view.update(0, "consul", all(6));
        Status[] gone = new Status[6];
        Arrays.fill(gone, Status.PASSING);
        for (int n = 0; n < 4; n++) {
            gone[n] = Status.CRITICAL;
            view.update(100 * (n + 1), "consul", all(6, gone));
        }
        assertEquals("e0 e1 e2 e3 e4 e5", used());
    }

    @Test
    void oneThatFlipsEverySecondIsNotUsedAgainUntilSteadyForLong() {
        view.update(0, "consul", all(4));
        int uses = 0;
        for (int s = 1; s <= 60; s++) {
            view.update(s * 1000L, "consul", all(4, s % 2 == 1 ? Status.CRITICAL : Status.PASSING));
            view.tick(s * 1000L + 999);
            uses += used().startsWith("e0") ? 1 : 0;
        }
        assertEquals(0, uses);
        view.update(61_000, "consul", all(4, Status.PASSING));
        assertEquals(Member.Reason.DAMPED, why(0));
        long again = view.nextTickMs();
        assertTrue(again >= 61_000 + 30_000, "grown by its stops: " + again);
        view.tick(again - 1);
        assertFalse(used().startsWith("e0"));
        view.tick(again);
        assertEquals("e0 e1 e2 e3", used());
    }

    @Test
    void oneStopIsWaitedOutForTheShortestTimeAndForgivenLater() {
        view.update(0, "consul", all(4));
        for (long at = 10_000; at < 2_000_000; at += 300_000) {
            view.update(at, "consul", all(4, Status.CRITICAL));
            view.update(at + 100, "consul", all(4));
            view.tick(at + 1099);
            assertEquals("e1 e2 e3", used());
            view.tick(at + 1100);
            assertEquals("e0 e1 e2 e3", used());
        }
    }

    @Test
    void oneThatLeavesAndComesBackEverySecondFlapsToo() {
        view.update(0, "consul", all(4));
        view.update(1000, "consul", all(4).subList(1, 4));
        view.update(2000, "consul", all(4));
        assertEquals(Member.Reason.DAMPED, why(0));
    }

    @Test
    void aPoolOfOneThatFlapsIsNeverEmpty() {
        view.update(0, "consul", all(1));
        for (int s = 1; s <= 60; s++) {
            view.update(s * 1000L, "consul", all(1, s % 2 == 1 ? Status.CRITICAL : Status.PASSING));
            assertEquals("e0", used());
        }
    }

    @Test
    void theSameIdAtAnotherAddressIsAnotherEndpoint() {
        view.update(0, "platform", all(3));
        List<Instance> moved = all(3);
        moved.set(0, new Instance("e0", "127.0.0.1:9100", 7, "m", "a", 1, Status.PASSING));
        Membership.Change change = view.update(1, "platform", moved);
        assertEquals(List.of("e0"), change.removed());
        assertEquals(List.of("e0@7@127.0.0.1:9100"), change.members().stream().map(Member::id).toList());
    }

    @Test
    void aViewOfAnEarlierLifeIsTakenUpUntilItsSourceSpeaks() {
        view.restore(1_000_000, "consul", all(3), 500_000);
        assertEquals("e0 e1 e2", used());
        assertEquals(500_000, view.sourceStates(1_000_000).get("consul").ageMs());
        view.update(1_000_001, "consul", all(2));
        assertEquals("e0 e1", used());
        assertTrue(view.restore(1_000_002, "consul", all(4), 0).isEmpty(), "its own word goes before");
    }

    @Test
    void twoRegistrationsOfOneAddressAreOneEndpointAndTheWorseWordHolds() {
        List<Instance> twice = new ArrayList<>(all(3));
        twice.add(new Instance("again", "127.0.0.1:9000", 7, "m", "a", 1, Status.CRITICAL));
        view.update(0, "consul", twice);
        assertEquals("e1 e2", used());
    }

    @Test
    void rulesOutOfRangeAreNamed() {
        assertEquals("most_shrink is a share, 0 to 1", assertThrows(IllegalArgumentException.class,
                () -> new MembershipRules(1, 1, 1, 1.5, 1, 1)).getMessage());
        assertThrows(IllegalArgumentException.class, () -> new MembershipRules(2, 1, 1, 0.5, 1, 1));
    }
}
