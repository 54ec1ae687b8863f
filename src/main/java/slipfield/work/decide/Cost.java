package slipfield.work.decide;

/**
 * The cost of one slice of a job.
 *
 * @param cpuMs CPU time in milliseconds
 * @param bytes bytes written to disk
 * @param more whether the job needs further slices
 */
public record Cost(double cpuMs, long bytes, boolean more) {
}
