package slipfield.core;

import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.policy.DeliveryPolicy;

/**
 * What the people on call need to follow an outage: how this sender sees each endpoint, by the ids of the list, which last over
 * restarts; and why attempts and messages did not come through.
 */
final class OutageLog {
    private OutageLog() {
    }

    /** An endpoint's state has changed; {@code endpoint} is its id in the list, {@code now} the module's time in ms. */
    static void endpointChanged(DeliveryPolicy.EndpointChange change, String endpoint, double now) {
        Log.info("endpoint.health", "endpoint", endpoint, "number", change.endpoint(), "destination", change.destination(),
                "from", change.from(), "to", change.to(), "reason", change.reason(), "failed", change.undeliveredCalls().failed(),
                "refused", change.undeliveredCalls().refused(), "over_ms", overMs(change.undeliveredCalls(), now));
    }

    /** Calls to a destination go one at a time from now on, or no more do; ids are empty where none made the difference. */
    static void suspicionChanged(DeliveryPolicy.Suspicion suspicion, String endpoint, String message, double now) {
        Log.info(suspicion.begins() ? "destination.suspected" : "destination.cleared", "destination", suspicion.destination(),
                "endpoint", endpoint, "message", message, "failed", suspicion.undeliveredCalls().failed(), "refused",
                suspicion.undeliveredCalls().refused(), "over_ms", overMs(suspicion.undeliveredCalls(), now));
    }

    private static long overMs(DeliveryPolicy.UndeliveredCalls fruitless, double now) {
        return fruitless.failed() + fruitless.refused() == 0 ? 0 : Math.round(now - fruitless.since());
    }

    /** An attempt has ended after so many ms: why its message is tried again, unless it was delivered or called off. */
    static void attemptEnded(PendingMessage held, int attempt, DeliveryPolicy.AttemptOutcome outcome, double tookMs) {
        if (outcome != DeliveryPolicy.AttemptOutcome.DELIVERED && outcome != DeliveryPolicy.AttemptOutcome.CANCELLED) {
            Log.warn("attempt.failed", "message", held.id, "attempt", attempt, "destination", held.destination, "endpoint",
                    held.attempts.get(attempt).endpoint, "outcome", outcome, "took_ms", Math.round(tookMs));
        }
    }

    /** A message is given back or given up; it was tried so many times. */
    static void ended(PendingMessage held, PendingMessage.Notice notice) {
        Log.warn("message.undelivered", "message", held.id, "destination", held.destination, "end", notice.answer(), "attempts",
                held.attempts.size());
    }
}
