package slipfield.amqp.server;

import io.netty.channel.ChannelFuture;
import java.util.Map;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.decide.Consumers;

/** A consumer of a queue. */
public final class Subscription {
    /** How a delivery was settled. */
    public enum How {
        /** {@code basic.ack}. */
        ACKED,
        /** {@code basic.nack} or {@code basic.reject} with requeue: given back unseen. */
        REQUEUED,
        /** The same without. */
        REJECTED,
        /** Its channel or connection is gone. */
        LOST
    }

    /** Hears of a delivery's settlement, once. */
    public interface Delivered {
        /** It was settled. */
        void settled(How how);
    }

    private final ServerChannel channel;
    private final AmqpConfig.Queue queue;
    private final String tag;
    private final Map<String, Object> arguments;

    Subscription(ServerChannel channel, AmqpConfig.Queue queue, String tag, Map<String, Object> arguments) {
        this.channel = channel;
        this.queue = queue;
        this.tag = tag;
        this.arguments = arguments;
    }

    /** What it consumes. */
    public AmqpConfig.Queue queue() {
        return queue;
    }

    /** Its endpoint's name. */
    public String name() {
        return Consumers.name(queue.name(), channel.user().name(), tag);
    }

    /** Its {@code x-priority}, 0 where it told none. */
    public int priority() {
        return arguments.get("x-priority") instanceof Number n ? n.intValue() : 0;
    }

    /** How many deliveries it may have out at once. */
    public int slots() {
        return channel.deliveries().slots(tag);
    }

    /** Whether it may have one more, and reads what it is sent. */
    public boolean room() {
        return channel.writable() && channel.deliveries().room(tag);
    }

    /** Sends a message to it, which must have room; the future tells when the last octet is out. */
    public ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, Delivered then) {
        long number = channel.deliveries().deliver(tag, then, channel.nowMs());
        Method method = Method.of(MethodId.BASIC_DELIVER, tag, number, redelivered, "", queue.name());
        return channel.send(new Frame.Content(channel.number(), method, properties, body));
    }

    String tag() {
        return tag;
    }
}
