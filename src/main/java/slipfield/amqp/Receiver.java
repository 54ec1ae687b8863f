package slipfield.amqp;

import io.netty.channel.ChannelFuture;
import slipfield.amqp.codec.Properties;

/** What takes deliveries: a consumer of a queue here, or a broker elsewhere. On the loop's thread. */
public interface Receiver {
    /** How a delivery was settled. */
    enum Settlement {
        /** It is done. */
        ACKED,
        /** Given back unseen. */
        REQUEUED,
        /** Not done, and it may have run. */
        REJECTED,
        /** Whatever took it is gone. */
        LOST
    }

    /** Hears of a delivery's settlement, once. */
    interface SettlementListener {
        /** It was settled; {@code waitMs}: of one given back, the time to come back after, or 0. */
        void settled(Settlement how, long waitMs);
    }

    /** Its endpoint's name. */
    String name();

    /** What it is of: destination, kind and zone. */
    AmqpConfig.Queue queue();

    /** Those of the highest are in service, the others stand by. */
    int priority();

    /** How many deliveries it may have out at once. */
    int maxInFlight();

    /** Whether it may have one more, and reads what it is sent. */
    boolean hasCapacity();

    /** Sends a message to it, which must have room; the future tells when the last octet is out. */
    ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, SettlementListener then);
}
