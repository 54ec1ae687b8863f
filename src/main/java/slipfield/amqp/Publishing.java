package slipfield.amqp;

/** Takes what is published. Each publication gets one {@link Publisher#end}, unless its publisher has left before. */
public interface Publishing {
    /** A message came whole. */
    void published(Publisher from, Publication publication);

    /** So much for now: what was taken is to be written before the loop's next turn. */
    void turned();

    /** A channel is gone; nobody hears of its messages any more. */
    void left(Publisher publisher);
}
