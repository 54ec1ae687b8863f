package slipfield.amqp.decide;

import java.util.SplittableRandom;

/**
 * When a link that is down is dialled again: after a pause drawn from half to the whole of a time that doubles at each
 * failure, up to a bound; so that senders that lost one broker do not come back to it in one moment. A link that stood for a
 * while begins anew; one that falls at once each time does not.
 */
public final class RedialBackoff {
    private static final double STOOD_MS = 10_000;

    private final double firstMs;
    private final double mostMs;
    private final SplittableRandom random;
    private int failures;
    private double openedMs = Double.POSITIVE_INFINITY;

    /** Pauses from {@code firstMs} up to {@code mostMs}, in milliseconds. */
    public RedialBackoff(long seed, double firstMs, double mostMs) {
        this.random = new SplittableRandom(seed);
        this.firstMs = firstMs;
        this.mostMs = mostMs;
    }

    /** The link stands. */
    public void connected(double now) {
        openedMs = now;
    }

    /** It is down, or did not come up: the pause before it is dialled, in milliseconds. */
    public double disconnected(double now) {
        failures = now - openedMs >= STOOD_MS ? 0 : failures;
        openedMs = Double.POSITIVE_INFINITY;
        double bound = Math.min(mostMs, firstMs * Math.pow(2, Math.min(failures++, 30)));
        return bound / 2 + random.nextDouble() * bound / 2;
    }
}
