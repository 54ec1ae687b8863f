package slipfield.core;

import java.util.function.Consumer;
import slipfield.journal.AnswerRecipient;

/**
 * Where clients ask for the ends of their messages: an outcome whose answers a front passes on. All on the core's thread.
 */
public interface AnswerPolling {
    /** A question that waits for its answer. */
    interface Poll {
        /** Whoever asked is gone: it is not answered any more. */
        void cancel();
    }

    /** The claim of a message whose client follows its end under this name. */
    AnswerRecipient recipient(String peer);

    /**
     * Asks for the ends that a peer has not heard yet.
     *
     * @param after what it heard last, as it was told; all up to there counts as heard. Empty or unknown: nothing does
     * @param waitMs how long to wait for one, where there is none
     * @param then told once, also with nothing: a line for each end
     */
    Poll poll(String peer, String after, long waitMs, Consumer<String> then);

    /** Answers all who wait, at once, and whoever asks from now on: the sender ends. */
    void release();
}
