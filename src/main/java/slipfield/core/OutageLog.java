package slipfield.core;

import slipfield.journal.Held;
import slipfield.log.Log;
import slipfield.policy.Relay;

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
    static void endpointChanged(Relay.EndpointChange change, String endpoint, double now) {
        Log.info("endpoint.health", "endpoint", endpoint, "number", change.endpoint(), "destination", change.destination(),
                "from", change.from(), "to", change.to(), "reason", change.reason(), "failed", change.fruitless().failed(),
                "refused", change.fruitless().refused(), "over_ms", overMs(change.fruitless(), now));
    }

    /**
     * A destination became suspected, so that calls go there one at a time, or is not suspected any more.
     *
     * @param endpoint the endpoint that caused the change, or empty
     * @param message the message that caused the change, or empty
     */
    static void suspicionChanged(Relay.Suspicion suspicion, String endpoint, String message, double now) {
        Log.info(suspicion.begins() ? "destination.suspected" : "destination.cleared", "destination", suspicion.destination(),
                "endpoint", endpoint, "message", message, "failed", suspicion.fruitless().failed(), "refused",
                suspicion.fruitless().refused(), "over_ms", overMs(suspicion.fruitless(), now));
    }

    private static long overMs(Relay.Fruitless fruitless, double now) {
        return fruitless.failed() + fruitless.refused() == 0 ? 0 : Math.round(now - fruitless.since());
    }

    /** An attempt has ended after {@code tookMs} milliseconds; logged unless it delivered the message or was cancelled. */
    static void attemptEnded(Held message, int attempt, Relay.Outcome outcome, double tookMs) {
        if (outcome != Relay.Outcome.DELIVERED && outcome != Relay.Outcome.CANCELLED) {
            Log.warn("attempt.failed", "message", message.id, "attempt", attempt, "destination", message.destination, "endpoint",
                    message.attempts.get(attempt).endpoint, "outcome", outcome, "took_ms", Math.round(tookMs));
        }
    }

    /** A message was refused or failed. */
    static void undelivered(Held message, Held.Notice notice) {
        Log.warn("message.undelivered", "message", message.id, "destination", message.destination, "end", notice.end(),
                "attempts", message.attempts.size());
    }
}
