package slipfield.amqp;

import java.util.Map;
import slipfield.amqp.codec.ReplyCode;

/** A channel that publishes, as the handler of its messages sees it. Called on the event loop's thread. */
public interface Publisher {
    /** Identifies the channel; never reused, not by the process after a restart either. */
    String peer();

    /** Returns a message with {@code basic.return}, with these headers added to its own. */
    void returnMessage(Publication publication, ReplyCode code, String text, Map<String, Object> headers);

    /**
     * Keeps a publication that was refused and submits it again after this delay in milliseconds, unless the channel is closed
     * before. Returns false if this can't be done; the publication is to be returned and settled then.
     */
    default boolean submitLater(Publication publication, long delayMs) {
        return false;
    }

    /** Settles a publication that has its final answer. The confirm is sent with the next {@link #flush}. */
    void confirm(Publication publication, boolean ack);

    /** Sends the confirms that are due. */
    void flush();
}
