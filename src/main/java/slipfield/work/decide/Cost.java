package slipfield.work.decide;

/**
 * What a slice took.
 *
 * @param cpuMs milliseconds of CPU
 * @param bytes written
 * @param more whether the job goes on
 */
public record Cost(double cpuMs, long bytes, boolean more) {
}
