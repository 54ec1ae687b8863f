package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The README's example. */
class ExampleTest {
    private final List<String> done = new ArrayList<>();

    @Test
    void oneMessageFromArrivalToDelivery() {
        Relay.MessageClass order =
                new Relay.MessageClass(2000, 16_000, 1, 0.5, Relay.Effect.SAFE, false, 0, false);
        Relay.Settings settings = new Relay.Settings(List.of(order), List.of(new Relay.Kind(false, 1)), false,
                Relay.Decay.LINE, List.of(), 1, 10, 6, true, true, 0, 15_000,
                new Relay.ColdStart(0.2, 10_000, 2, 1500));
        Relay relay = Relay.create(settings, 42, new Printing());
        relay.endpoints(0, true, List.of(new Relay.Endpoint(51, 7, 0, 0, true, 0)));
        relay.message(0, new Relay.Message(1, 0, 0, Optional.empty(), 16_000, 7));
        relay.endTurn(0);
        relay.attemptEnded(80, new Relay.AttemptEnd(1, 0, Relay.Outcome.DELIVERED, 80, true, 0));
        relay.endTurn(80);
        assertEquals(List.of("send 1 to 51", "wake at 1000.0"), done.subList(0, 2));
    }

    /** Stands for the caller's network client and timers. */
    private final class Printing implements Relay.Actions {
        @Override
        public void send(long message, long endpoint, Relay.Within within) {
            done.add("send " + message + " to " + endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            done.add("cancel " + message);
        }

        @Override
        public void closeIdle(long endpoint) {
            done.add("close idle connections to " + endpoint);
        }

        @Override
        public void refuse(long message, double waitMs) {
            done.add("refuse " + message);
        }

        @Override
        public void fail(long message) {
            done.add("fail " + message);
        }

        @Override
        public void wakeAt(double time) {
            done.add("wake at " + time);
        }

        @Override
        public void log(String text) {
            done.add(text);
        }
    }
}
