package slipfield.amqp;

import io.netty.channel.ChannelFuture;
import slipfield.amqp.codec.Properties;

/** Receives deliveries: a consumer of a queue here, or another broker. Called on the event loop's thread. */
public interface Receiver {
    /** How a delivery was settled. */
    enum Settlement {
        /** The message was processed. */
        ACKED,
        /** Returned without being processed. */
        REQUEUED,
        /** Not acknowledged; the message may have been processed. */
        REJECTED,
        /** The receiver's channel or connection was closed before it settled the delivery. */
        LOST
    }

    /** Is called once, when a delivery is settled. */
    interface SettlementListener {
        /** The delivery was settled. {@code waitMs}: the requested delay of a requeued delivery in ms; 0 if there is none. */
        void settled(Settlement settlement, long waitMs);
    }

    /** The name of its endpoint. */
    String name();

    /** The queue, which determines destination, kind and zone. */
    AmqpConfig.Queue queue();

    /** Of a queue's receivers, only those of the highest priority are in service. */
    int priority();

    /** The maximum number of unsettled deliveries. */
    int maxInFlight();

    /** Whether it may get another delivery: it is below its maximum and its connection is writable. */
    boolean hasCapacity();

    /** Sends it a message; it must have capacity. The future completes when the last octet is written to the socket. */
    ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, SettlementListener listener);
}
