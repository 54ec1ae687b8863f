package slipfield.work;

/** The code of a job, which runs in slices. */
@FunctionalInterface
public interface Task {
    /**
     * Runs one slice, a small part of the job, on the event loop, or on a pool thread if the job's kind blocks. The worker
     * measures its CPU time.
     *
     * @return the bytes that the slice wrote, and whether more slices follow
     * @throws Exception if the slice failed: it is called again later, and continues from the state that it left
     */
    SliceResult slice() throws Exception;

    /** The bytes that a slice wrote, and whether more slices follow. */
    record SliceResult(long bytes, boolean more) {
        /** The last slice, which wrote nothing. */
        public static final SliceResult LAST = new SliceResult(0, false);
    }
}
