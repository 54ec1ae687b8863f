package slipfield.amqp.decide;

import java.util.SplittableRandom;

/**
 * Delays before a lost link to a broker is dialled again. The bound doubles at each failure up to a maximum, and the delay is
 * drawn between half of the bound and the bound, so that the senders that lost a broker do not all dial it at the same
 * moment. A link that was up for {@code STABLE_MS} resets the bound; one that is lost sooner does not.
 */
public final class RedialBackoff {
    private static final double STABLE_MS = 10_000;

    private final double firstMs;
    private final double maxMs;
    private final SplittableRandom random;
    private int failures;
    private double connectedMs = Double.POSITIVE_INFINITY;

    /** {@code firstMs}: the first bound of the delay; {@code maxMs}: its maximum, both in milliseconds. */
    public RedialBackoff(long seed, double firstMs, double maxMs) {
        this.random = new SplittableRandom(seed);
        this.firstMs = firstMs;
        this.maxMs = maxMs;
    }

    /** The link is up. */
    public void connected(double now) {
        connectedMs = now;
    }

    /** The link was lost, or could not be opened. Returns the delay before it is dialled again, in milliseconds. */
    public double disconnected(double now) {
        failures = now - connectedMs >= STABLE_MS ? 0 : failures;
        connectedMs = Double.POSITIVE_INFINITY;
        double bound = Math.min(maxMs, firstMs * Math.pow(2, Math.min(failures++, 30)));
        return bound / 2 + random.nextDouble() * bound / 2;
    }
}
