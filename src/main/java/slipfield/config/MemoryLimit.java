package slipfield.config;

/**
 * The limit on the memory of the whole process, from {@code limits.memory_mb}: the sender is killed beyond it. The deploy file
 * sizes the heap by it, since a JVM can't change that after its start; this class checks that the two fit.
 *
 * @param megabytes the limit
 */
public record MemoryLimit(long megabytes) {
    /**
     * What a JVM takes besides its heap, in MB: libraries, class archives, compiled code, threads and metadata. As measured
     * under load (docs/measurements/memory.md); {@code deploy/heap.sh} has the same figure.
     */
    public static final long OTHER_MB = 60;
    /** The smallest heap with which a sender works, in MB; {@code deploy/heap.sh} has the same figure. */
    public static final long MIN_HEAP_MB = 16;

    private static final long MB = 1 << 20;

    /** Whether the process stays within the limit with a heap of this size in bytes. */
    public boolean allowsHeap(long heapBytes) {
        return heapBytes / MB + OTHER_MB <= megabytes;
    }

    /** The largest heap that the limit allows, in MB, but never less than {@link #MIN_HEAP_MB}. */
    public long heapMb() {
        return Math.max(MIN_HEAP_MB, megabytes - OTHER_MB);
    }
}
