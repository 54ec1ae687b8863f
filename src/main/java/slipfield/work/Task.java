package slipfield.work;

/** What a job does. */
@FunctionalInterface
public interface Task {
    /**
     * One slice: a small piece of the whole. On the loop's thread, or on a pool's where the job's kind blocks.
     *
     * @return the bytes that it wrote, and whether there is more; its CPU is measured
     * @throws Exception if it failed: it is tried again later, from where it stands
     */
    SliceResult slice() throws Exception;

    /** What a slice did. */
    record SliceResult(long bytes, boolean more) {
        /** It was the last one, and wrote nothing. */
        public static final SliceResult LAST = new SliceResult(0, false);
    }
}
