package slipfield.amqp;

/** Takes what is published. Each publication gets one {@link Publisher#confirm}, unless its publisher has left before. */
public interface PublishHandler {
    /** A message came whole. */
    void published(Publisher from, Publication publication);

    /** So much for now: what was taken is to be written before the loop's next turn. */
    void batchEnded();

    /** A channel is gone; nobody hears of its messages any more. */
    void publisherClosed(Publisher publisher);
}
