package slipfield.core;

import java.util.function.Consumer;
import slipfield.journal.AnswerRecipient;

/**
 * Lets clients poll for the final answers of their messages. A frontend passes the requests and the answers on. All methods are
 * called on the core's event loop.
 */
public interface AnswerPolling {
    /** A request that waits for answers. */
    interface Poll {
        /** Drops the request because its client has disconnected; it is not answered any more. */
        void cancel();
    }

    /** The recipient to register for a message whose client polls for its answer under this name. */
    AnswerRecipient recipient(String peer);

    /**
     * Requests the answers that a client has not acknowledged yet.
     *
     * @param after the cursor of the last answer that the client received; it acknowledges that answer and all before it. Empty
     *     or unknown: nothing is acknowledged
     * @param waitMs how long to wait for an answer if there is none, in milliseconds
     * @param then called once with the answers, one per line; with an empty text if there are none
     */
    Poll poll(String peer, String after, long waitMs, Consumer<String> then);

    /** Answers all waiting polls, and from now on each new one, at once: the sender shuts down. */
    void release();
}
