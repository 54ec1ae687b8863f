package slipfield.directory.consul;

import java.util.Optional;

/**
 * The index of a blocking query, by Consul's page "Blocking Queries": an index that goes back is given up, so is one that
 * is not over 0. What a server says that lags behind is not taken for news. Pure.
 */
final class BlockingIndex {
    /** What to make of an answer. */
    enum Verdict {
        /** It is the list as it is now. */
        TAKE,
        /** Nothing is new. */
        SAME,
        /** It may be of another reckoning, after a restore: ask for the whole list, without an index. */
        RESET,
        /** The server that answered lags, or has no leader: another is asked. */
        STALE
    }

    private final long mostStaleMs;
    private long index;
    /** The index of the last list that was taken: an answer without index is of this one's time or later. */
    private long taken;
    private final int looks;
    /** Answers in a row whose index was lower. */
    private int wentBack;

    /** {@code looks}: an index that went back is believed when it was told so often in a row. */
    BlockingIndex(long mostStaleMs, int looks) {
        this.mostStaleMs = mostStaleMs;
        this.looks = looks;
    }

    /** What to ask with; 0: do not block. */
    long index() {
        return index;
    }

    /** An answer with these headers, absent where {@code null}. */
    Verdict answered(String consulIndex, String knownLeader, String lastContact) {
        if (stale(knownLeader, lastContact)) {
            return Verdict.STALE;
        }
        long told = number(consulIndex).orElse(0L);
        if (told < 1) {
            // Blocking on it would not block: the list counts, the index does not.
            index = 0;
            return Verdict.TAKE;
        }
        if (told < taken && ++wentBack < looks) {
            // A restore, or a server that lags unawares: others are asked before it is believed.
            index = 0;
            return Verdict.RESET;
        }
        boolean same = told == taken && index == told && wentBack == 0;
        wentBack = 0;
        index = told;
        taken = told;
        return same ? Verdict.SAME : Verdict.TAKE;
    }

    /** An answer that had the index only: {@code TAKE} where the whole list is to be looked at. */
    Verdict probed(String consulIndex, String knownLeader, String lastContact) {
        if (stale(knownLeader, lastContact)) {
            return Verdict.STALE;
        }
        return number(consulIndex).orElse(0L) == index ? Verdict.SAME : Verdict.TAKE;
    }

    private boolean stale(String knownLeader, String lastContact) {
        return "false".equalsIgnoreCase(knownLeader) || number(lastContact).orElse(0L) > mostStaleMs;
    }

    /** Another agent is asked: its list is looked at whole. */
    void moved() {
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
