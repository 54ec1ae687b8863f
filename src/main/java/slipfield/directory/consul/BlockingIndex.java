package slipfield.directory.consul;

import java.util.Optional;

/**
 * Tracks the index of a Consul blocking query (Consul documentation, "Blocking Queries"): an index that decreases or is not
 * above 0 is reset. Answers of a server that lags behind its leader are discarded. Does no I/O.
 */
final class BlockingIndex {
    /** How to handle an answer. */
    enum Verdict {
        /** The answer is the current list. */
        TAKE,
        /** Nothing has changed. */
        SAME,
        /** The index decreased, as after a restore of Consul: ask for the whole list, without an index. */
        RESET,
        /** The answering server lags or has no leader: ask another. */
        STALE
    }

    private final long maxStaleMs;
    private long index;
    /** The index of the last accepted list that had one; lower indexes count as decreased. */
    private long lastAccepted;
    private final int confirmations;
    /** Consecutive answers with a lower index. */
    private int decreases;

    /**
     * Creates an index of 0.
     *
     * @param maxStaleMs answers of servers without contact to their leader for longer are discarded
     * @param confirmations a decreased index is accepted after this many consecutive answers
     */
    BlockingIndex(long maxStaleMs, int confirmations) {
        this.maxStaleMs = maxStaleMs;
        this.confirmations = confirmations;
    }

    /** The index for the next query; 0 for one that does not block. */
    long index() {
        return index;
    }

    /** Evaluates the headers of an answer with a list; {@code null} for an absent header. */
    Verdict answered(String consulIndex, String knownLeader, String lastContact) {
        if (stale(knownLeader, lastContact)) {
            return Verdict.STALE;
        }
        long reported = number(consulIndex).orElse(0L);
        if (reported < 1) {
            // A query with this index would not block: accept the list, drop the index.
            index = 0;
            return Verdict.TAKE;
        }
        if (reported < lastAccepted && ++decreases < confirmations) {
            // Consul was restored, or the server lags without knowing: ask others before accepting the index.
            index = 0;
            return Verdict.RESET;
        }
        boolean same = reported == lastAccepted && index == reported && decreases == 0;
        decreases = 0;
        index = reported;
        lastAccepted = reported;
        return same ? Verdict.SAME : Verdict.TAKE;
    }

    /** Evaluates the headers of a probe, an answer without the list; {@code TAKE} if the whole list must be fetched. */
    Verdict probed(String consulIndex, String knownLeader, String lastContact) {
        if (stale(knownLeader, lastContact)) {
            return Verdict.STALE;
        }
        return number(consulIndex).orElse(0L) == index ? Verdict.SAME : Verdict.TAKE;
    }

    private boolean stale(String knownLeader, String lastContact) {
        return "false".equalsIgnoreCase(knownLeader) || number(lastContact).orElse(0L) > maxStaleMs;
    }

    /** Resets the index after a change of agent, whose whole list is fetched. */
    void reset() {
        index = 0;
    }

    private static Optional<Long> number(String header) {
        try {
            return header == null ? Optional.empty() : Optional.of(Long.parseLong(header.trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
