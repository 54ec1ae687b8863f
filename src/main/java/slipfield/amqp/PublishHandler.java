package slipfield.amqp;

/** Handles published messages. Each gets one {@link Publisher#confirm}, unless its publisher is closed before. */
public interface PublishHandler {
    /** A message was received completely. */
    void published(Publisher from, Publication publication);

    /** Ends a batch: the accepted messages are to be written to the journal before the next event-loop iteration. */
    void batchEnded();

    /** A channel was closed; its publications are not confirmed any more. */
    void publisherClosed(Publisher publisher);
}
