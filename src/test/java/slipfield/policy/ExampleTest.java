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
        DeliveryPolicy.MessageClass order =
                new DeliveryPolicy.MessageClass(2000, 16_000, 1, 0.5, DeliveryPolicy.RepeatSafety.SAFE, false, 0, false);
        DeliveryPolicy.Settings settings = new DeliveryPolicy.Settings(List.of(order), List.of(new DeliveryPolicy.Kind(false,
                1)), false,
                DeliveryPolicy.Decay.LINEAR, List.of(), 1, 10, 6, true, true, 0, 15_000,
                new DeliveryPolicy.ColdStart(0.2, 10_000, 2, 1500));
        DeliveryPolicy policy = DeliveryPolicy.create(settings, 42, new Printing());
        policy.endpointsChanged(0, true, List.of(new DeliveryPolicy.Endpoint(51, 7, 0, 0, true, 0)));
        policy.messageAccepted(0, new DeliveryPolicy.Message(1, 0, 0, Optional.empty(), 16_000, 7));
        policy.endIteration(0);
        policy.attemptEnded(80, new DeliveryPolicy.AttemptEnd(1, 0, DeliveryPolicy.AttemptOutcome.DELIVERED, 80, true, 0));
        policy.endIteration(80);
        assertEquals(List.of("send 1 to 51", "wake at 1000.0"), done.subList(0, 2));
    }

    /** Stands for the caller's network client and timers. */
    private final class Printing implements DeliveryPolicy.Actions {
        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming within) {
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
