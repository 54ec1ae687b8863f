package slipfield.amqp.server;

/** Has messages for consumers. On the loop's thread. */
public interface Consuming {
    /** Whether this consumer may come: not beside an exclusive one, and under each name once. */
    boolean mayCome(Subscription subscription, boolean exclusive);

    /** A consumer came. */
    void came(Subscription subscription, boolean exclusive);

    /** A consumer was cancelled, or its channel is gone; what it has out is settled or lost by itself. */
    void left(Subscription subscription);

    /** A consumer has room again. */
    void room(Subscription subscription);

    /** How many consume a queue. */
    int consumers(String queue);
}
