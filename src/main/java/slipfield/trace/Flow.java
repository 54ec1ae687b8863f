package slipfield.trace;

/**
 * Prints the steps of each message, one short line per step, to be counted over a whole fleet afterwards ({@code bin/slipfield
 * fleet FOLDER}). That is far too much for a log, so it is off unless it is enabled to find a cause. A line is {@code flow TIME
 * STEP}, followed by the values of the step. Times are milliseconds of the wall clock, which all senders of a fleet share.
 */
public final class Flow {
    private Flow() {
    }

    /** Prints a step and its values; the order of the values depends on the step. */
    public static void step(String step, Object... values) {
        StringBuilder line = new StringBuilder("flow ").append(System.currentTimeMillis()).append(' ').append(step);
        for (Object value : values) {
            line.append(' ').append(value);
        }
        System.err.println(line);
    }
}
