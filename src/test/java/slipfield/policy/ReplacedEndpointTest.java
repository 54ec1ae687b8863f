package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.State;

/** Endpoints that are new to a destination in an outage, or recovering from one. */
class ReplacedEndpointTest {
    private static final int SAFE = 0;
    private static final int SHARED_LIMIT = 0;
    private static final int SEPARATE_ROUTES = 2;
    /** A backlog of this many messages goes out in one second where nothing holds it back. */
    private static final int BACKLOG = 30;
    /** More calls than probes and the slow start make in the first two seconds, fewer than the backlog. */
    private static final int COLD_CALLS = 8;

    private long accepted;

    /** The state after an outage of 10 s, in which every call to the endpoint 10 was unreachable. */
    private PolicyHarness inOutage(int kind) {
        accepted = 0;
        PolicyHarness b = new PolicyHarness(100).entry(10, 1, kind, 0, true);
        b.onSend = s -> b.endLater(s, s.endpoint() == 10 && b.now >= 10_000 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        acceptEvery(b, 400, 20_000);
        assertEquals(State.DOWN, b.health.get(10L).state());
        return b;
    }

    private void acceptEvery(PolicyHarness b, double gap, double end) {
        while (b.now < end) {
            b.accept(++accepted, SAFE, 1);
            b.until(b.now + gap);
        }
    }

    private void acceptBacklog(PolicyHarness b) {
        for (int i = 0; i < BACKLOG; i++) {
            b.accept(++accepted, SAFE, 1);
        }
    }

    private static long callsTo(PolicyHarness b, long endpoint, double from, double to) {
        return b.sends.stream().filter(s -> s.endpoint() == endpoint && s.at() >= from && s.at() <= to).count();
    }

    private static void assertCold(PolicyHarness b, long endpoint) {
        double from = b.now;
        b.until(from + 2000);
        long calls = callsTo(b, endpoint, from, b.now);
        assertTrue(calls >= 1 && calls <= COLD_CALLS, "calls in two seconds: " + calls);
    }

    /** Guards against a backlog that pushes over a machine which replaces a failed one under another id (review, case 10). */
    @Test
    void anEndpointThatReplacesAFailedOneIsProbedAndWarmsUp() {
        for (int kind : new int[] {SHARED_LIMIT, SEPARATE_ROUTES}) {
            PolicyHarness b = inOutage(kind);
            b.remove(10, 1);
            acceptBacklog(b);
            b.until(b.now + 7000);
            b.entry(11, 1, kind, 0, true);
            assertCold(b, 11);
            assertEquals(State.WARMING, b.health.get(11L).state());
            b.until(b.now + 8000);
            assertEquals(accepted, b.delivered() + b.answers.size(), "the backlog is worked off in the slow start");
        }
    }

    /** Guards against an outage that is forgotten with the last endpoint, 30 s after it has left the list. */
    @Test
    void anOutageIsRememberedWhenNoEndpointIsLeft() {
        PolicyHarness b = inOutage(SHARED_LIMIT);
        b.remove(10, 1);
        b.until(b.now + 40_000);
        b.list(2, 20);
        acceptBacklog(b);
        b.list(1, 11);
        assertCold(b, 11);
    }

    /** Guards against a backlog at an endpoint that is listed in addition, under the same limit or as a second route. */
    @Test
    void anEndpointThatJoinsAFailedOneIsProbed() {
        for (int kind : new int[] {SHARED_LIMIT, SEPARATE_ROUTES}) {
            PolicyHarness b = inOutage(kind);
            acceptBacklog(b);
            b.entry(11, 1, kind, 0, true);
            assertCold(b, 11);
        }
    }

    /** Guards against a backlog at an endpoint that takes calls again while the others are in an outage. */
    @Test
    void anEndpointThatIsListedAgainInAnOutageIsProbed() {
        PolicyHarness b = new PolicyHarness(100).entry(11, 1, SEPARATE_ROUTES, 0, true);
        b.entry(11, 1, SEPARATE_ROUTES, 0, false).entry(10, 1, SEPARATE_ROUTES, 0, true);
        b.onSend = s -> b.endLater(s, s.endpoint() == 10 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        b.accept(++accepted, SAFE, 1);
        b.until(5000);
        acceptBacklog(b);
        b.entry(11, 1, SEPARATE_ROUTES, 0, true);
        assertCold(b, 11);
    }

    /** Guards against a second replacement that gets everything which the slow start of the first one holds back. */
    @Test
    void anEndpointThatJoinsARecoveringOneContinuesItsSlowStart() {
        PolicyHarness b = inOutage(SEPARATE_ROUTES);
        b.remove(10, 1);
        b.entry(11, 1, SEPARATE_ROUTES, 0, true);
        b.until(b.now + 2000);
        assertEquals(State.WARMING, b.health.get(11L).state());
        acceptBacklog(b);
        b.entry(12, 1, SEPARATE_ROUTES, 0, true);
        assertEquals(State.WARMING, b.health.get(12L).state());
        assertCold(b, 12);
    }

    /** Guards against a process that starts in the outage, and knows the failed endpoint but not the one in its place. */
    @Test
    void anOutageIsRememberedAcrossARestart() {
        PolicyHarness before = inOutage(SHARED_LIMIT);
        DeliveryPolicy.Health saved = before.destinationHealth.get(1L);
        assertEquals(State.DOWN, saved.state());
        PolicyHarness b = new PolicyHarness(100);
        b.policy.destinationHealthRestored(b.now, 1, new DeliveryPolicy.Health(saved.state(), -5000, saved.carriedPerMs()));
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 20);
        acceptBacklog(b);
        b.list(1, 11);
        assertCold(b, 11);
        b.until(b.now + 13_000);
        acceptEvery(b, 400, b.now + 2000);
        assertEquals(State.UP, b.destinationHealth.get(1L).state(), "the slow start is over");
    }

    /** Guards against probes where an endpoint in service is replaced, or one of two has failed. */
    @Test
    void noOutageIsContinuedWhileTheDestinationIsInService() {
        PolicyHarness b = new PolicyHarness(100).list(1, 10, 11);
        b.onSend = s -> b.endLater(s, s.endpoint() == 10 ? AttemptOutcome.UNREACHABLE : AttemptOutcome.DELIVERED, 20);
        acceptEvery(b, 200, 3000);
        assertEquals(State.DOWN, b.health.get(10L).state());
        // A whole list with another order, and an endpoint that has just delivered is replaced.
        b.policy.endpointsChanged(b.now, true, List.of(listed(12), listed(10)));
        b.policy.endIteration(b.now);
        acceptBacklog(b);
        double from = b.now;
        b.until(from + 1000);
        assertTrue(callsTo(b, 12, from - 1, b.now) >= BACKLOG);
    }

    private static DeliveryPolicy.Endpoint listed(long id) {
        return new DeliveryPolicy.Endpoint(id, 1, SHARED_LIMIT, 0, true, 0);
    }
}
