package slipfield.amqp;

/** Has messages for those that take deliveries. On the loop's thread. */
public interface ConsumerHandler {
    /** Whether this consumer may come: not beside an exclusive one, and under each name once. */
    boolean canAdd(Receiver receiver, boolean exclusive);

    /** A consumer came. */
    void consumerAdded(Receiver receiver, boolean exclusive);

    /** A consumer was cancelled, or its channel is gone; what it has out is settled or lost by itself. */
    void consumerRemoved(Receiver receiver);

    /** A consumer has room again. */
    void capacityFreed(Receiver receiver);

    /** How many consume a queue. */
    int consumerCount(String queue);
}
