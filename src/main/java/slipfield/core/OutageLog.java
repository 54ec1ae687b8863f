package slipfield.core;

import slipfield.journal.PendingMessage;
import slipfield.log.Log;
import slipfield.policy.DeliveryPolicy;

/**
 * Logs what operators need to follow an outage: the health of each endpoint as this sender sees it, by the ids of the endpoint
 * list, which are the same after a restart; and why attempts and messages failed.
 */
final class OutageLog {
    private OutageLog() {
    }

    /**
     * The health of an endpoint has changed.
     *
     * @param endpoint its id in the endpoint list
     * @param now the policy's time in ms
     */
    static void endpointChanged(DeliveryPolicy.EndpointChange change, String endpoint, double now) {
        Log.info("endpoint.health", "endpoint", endpoint, "number", change.endpoint(), "destination", change.destination(),
                "from", change.from(), "to", change.to(), "reason", change.reason(), "failed", change.undeliveredCalls().failed(),
                "refused", change.undeliveredCalls().refused(), "over_ms", overMs(change.undeliveredCalls(), now));
    }

    /**
     * A destination became suspected, so that calls go there one at a time, or is not suspected any more.
     *
     * @param endpoint the endpoint that caused the change, or empty
     * @param message the message that caused the change, or empty
     */
    static void suspicionChanged(DeliveryPolicy.Suspicion suspicion, String endpoint, String message, double now) {
        Log.info(suspicion.begins() ? "destination.suspected" : "destination.cleared", "destination", suspicion.destination(),
                "endpoint", endpoint, "message", message, "failed", suspicion.undeliveredCalls().failed(), "refused",
                suspicion.undeliveredCalls().refused(), "over_ms", overMs(suspicion.undeliveredCalls(), now));
    }

    private static long overMs(DeliveryPolicy.UndeliveredCalls fruitless, double now) {
        return fruitless.failed() + fruitless.refused() == 0 ? 0 : Math.round(now - fruitless.since());
    }

    /** An attempt has ended after {@code tookMs} milliseconds; logged unless it delivered the message or was cancelled. */
    static void attemptEnded(PendingMessage message, int attempt, DeliveryPolicy.AttemptOutcome outcome, double tookMs) {
        if (outcome != DeliveryPolicy.AttemptOutcome.DELIVERED && outcome != DeliveryPolicy.AttemptOutcome.CANCELLED) {
            Log.warn("attempt.failed", "message", message.id, "attempt", attempt, "destination", message.destination, "endpoint",
                    message.attempts.get(attempt).endpoint, "outcome", outcome, "took_ms", Math.round(tookMs));
        }
    }

    /** A message was refused or failed. */
    static void undelivered(PendingMessage message, PendingMessage.Notice notice) {
        Log.warn("message.undelivered", "message", message.id, "destination", message.destination, "end", notice.answer(),
                "attempts", message.attempts.size());
    }
}
