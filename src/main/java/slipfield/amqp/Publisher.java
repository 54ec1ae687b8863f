package slipfield.amqp;

import java.util.Map;
import slipfield.amqp.codec.ReplyCode;

/** A channel that publishes, as whoever takes its messages knows it. On the loop's thread. */
public interface Publisher {
    /** Its name, given to no other channel of this sender's lives. */
    String peer();

    /** Gives a message back with {@code basic.return}, and these headers besides its own. */
    void returnMessage(Publication publication, ReplyCode code, String text, Map<String, Object> headers);

    /** A message has its final answer; its confirm goes out with the next {@link #flush}. */
    void confirm(Publication publication, boolean ack);

    /** Sends the confirms that are due. */
    void flush();
}
