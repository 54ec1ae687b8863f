package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import slipfield.policy.DeliveryPolicy.State;

/** One endpoint's state, from the ends of its calls. */
class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth(0, 12_000, (from, to, reason) -> { });

    /** A single refused connection between deliveries is no outage; from the second in a short time on it is one. */
    @Test
    void connectionsThatAreRefusedAgainAndAgainAreNoBlip() {
        health.delivered(20_000, 19_950);
        health.unreachable(20_100);
        assertEquals(State.DOWN, health.state());
        health.delivered(20_600, 20_550);
        assertEquals(State.UP, health.state());
        health.unreachable(20_700);
        health.delivered(21_200, 21_150);
        assertEquals(State.WARMING, health.state());
        health.unreachable(21_300);
        health.delivered(21_800, 21_750);
        assertEquals(State.WARMING, health.state());
    }

    @Test
    void aRampEndsByTimeThoughNoCallEnds() {
        health.destinationOutage(1000, true);
        health.delivered(5000, 4900);
        assertEquals(State.WARMING, health.state());
        assertEquals(3000, health.recoveredAt(), "halfway from the last failure");
        health.endSlowStartIfDue(16_999);
        assertEquals(State.WARMING, health.state());
        health.endSlowStartIfDue(17_000);
        assertEquals(State.UP, health.state());
    }

    /** As where this sender's own connections fail for a moment: that leaves nobody cold. */
    @Test
    void aDestinationThatWasUnreachableForAMomentHasNoRamp() {
        health.delivered(20_000, 19_950);
        health.destinationOutage(20_400, false);
        health.delivered(20_900, 20_850);
        assertEquals(State.UP, health.state());
    }
}
