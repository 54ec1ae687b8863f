package slipfield.work.decide;

/**
 * A kind of background work with a budget of its own.
 *
 * @param name identifies the kind, in jobs and in reports
 * @param cpuShare CPU budget as a share of one core, above 0; unused budget accumulates up to {@code burstMs}
 * @param burstMs CPU time that may be saved up, in ms, above 0
 * @param bytesPerSecond disk budget in bytes per second; 0: not limited, for a kind that writes nothing relevant
 * @param slicesPerIteration slices per event-loop iteration, 1 or more
 * @param blocks whether its slices may wait for a disk or another system; if so they run on a thread pool, never on the event
 *     loop
 * @param maxSliceMs a slice that takes longer, in ms, stops its kind
 */
public record Kind(String name, Grade grade, double cpuShare, double burstMs, long bytesPerSecond, int slicesPerIteration,
        boolean blocks, double maxSliceMs) {
    /** Throws {@link IllegalArgumentException} for values out of range. */
    public Kind {
        if (!(cpuShare > 0) || !(burstMs > 0) || bytesPerSecond < 0 || slicesPerIteration < 1 || !(maxSliceMs > 0)) {
            throw new IllegalArgumentException("invalid budget of the kind of work " + name);
        }
    }
}
