package slipfield.rig.plan;

import java.util.random.RandomGenerator;

/**
 * One direction of a link: when what is put on it comes out. A stream keeps its order and loses nothing; datagrams may be lost,
 * doubled, and pass one another. All times are milliseconds on one clock.
 */
public final class Wire {
    private static final double[] NEVER = {};
    private static final double SECOND_MOST_MS = 50;

    private final RandomGenerator random;
    private Conditions conditions = Conditions.WHOLE;
    /** When the last piece of the stream comes out. */
    private double lastOut = Double.NEGATIVE_INFINITY;
    /** Until when its width is taken. */
    private double busyUntil = Double.NEGATIVE_INFINITY;

    /** All chance comes from {@code random}. */
    public Wire(RandomGenerator random) {
        this.random = random;
    }

    /** From now on it is so; what is under way comes out as it would have. */
    public void conditions(Conditions now) {
        conditions = now;
    }

    /** Whether it holds what is put on it until that ends. */
    public boolean held() {
        return conditions.held();
    }

    /** When a piece of a stream of so many bytes, put on it now, comes out. Not to be asked while it is held. */
    public double stream(double now, int bytes) {
        double through = now;
        if (conditions.bytesPerSecond() > 0) {
            busyUntil = Math.max(busyUntil, now) + 1000 * bytes / conditions.bytesPerSecond();
            through = busyUntil;
        }
        lastOut = Math.max(lastOut, through + delay());
        return lastOut;
    }

    /** When a datagram that is put on it now comes out: never, once or twice. */
    public double[] datagram(double now) {
        if (conditions.held() || random.nextDouble() < conditions.lost()) {
            return NEVER;
        }
        double first = now + delay();
        if (random.nextDouble() >= conditions.doubled()) {
            return new double[] {first};
        }
        return new double[] {first, first + random.nextDouble() * (conditions.jitterMs() + SECOND_MOST_MS)};
    }

    private double delay() {
        return conditions.delayMs() + random.nextDouble() * conditions.jitterMs();
    }
}
