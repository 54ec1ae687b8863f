package slipfield.amqp;

/** Delivers messages to consumers as they come and go. Called on the event loop's thread. */
public interface ConsumerHandler {
    /**
     * Whether this consumer may be added: its name must not be in use, and an exclusive consumer must be the only one of its
     * queue.
     */
    boolean canAdd(Receiver receiver, boolean exclusive);

    /** A consumer was added. */
    void consumerAdded(Receiver receiver, boolean exclusive);

    /**
     * A consumer was cancelled, or its channel was closed. Its unsettled deliveries are reported separately, as settled or lost.
     */
    void consumerRemoved(Receiver receiver);

    /** A consumer may have capacity for another delivery. */
    void capacityFreed(Receiver receiver);

    /** The number of consumers of a queue. */
    int consumerCount(String queue);
}
