package slipfield.amqp;

/** Has messages for those that take deliveries. On the loop's thread. */
public interface Consuming {
    /** Whether this consumer may come: not beside an exclusive one, and under each name once. */
    boolean mayCome(Receiver receiver, boolean exclusive);

    /** A consumer came. */
    void came(Receiver receiver, boolean exclusive);

    /** A consumer was cancelled, or its channel is gone; what it has out is settled or lost by itself. */
    void left(Receiver receiver);

    /** A consumer has room again. */
    void room(Receiver receiver);

    /** How many consume a queue. */
    int consumers(String queue);
}
