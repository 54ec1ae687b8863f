package slipfield.work.decide;

/**
 * Work of one sort, which has a budget.
 *
 * @param name for people
 * @param cpuShare of one core, above 0; what was not used is kept for {@code burstMs} of CPU at most
 * @param burstMs of CPU, above 0
 * @param bytesPerSecond to disk; 0: it writes none that counts
 * @param slicesPerIteration of the loop, 1 or more
 * @param blocks its slices may wait for a disk or another system: they run on a pool, never on the loop
 * @param maxSliceMs a slice that lasts longer stops its kind
 */
public record Kind(String name, Grade grade, double cpuShare, double burstMs, long bytesPerSecond, int slicesPerIteration,
        boolean blocks, double maxSliceMs) {
    /** Checks what no kind can mean. */
    public Kind {
        if (!(cpuShare > 0) || !(burstMs > 0) || bytesPerSecond < 0 || slicesPerIteration < 1 || !(maxSliceMs > 0)) {
            throw new IllegalArgumentException("no budget for a kind of work: " + name);
        }
    }
}
