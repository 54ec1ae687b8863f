package slipfield.amqp.server;

import io.netty.channel.ChannelFuture;
import java.util.Map;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Receiver;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.decide.ConsumerRegistry;

/** A consumer of a queue on a channel of this server. */
final class Subscription implements Receiver {
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

    @Override
    public AmqpConfig.Queue queue() {
        return queue;
    }

    @Override
    public String name() {
        return ConsumerRegistry.endpointName(queue.name(), channel.user().name(), tag);
    }

    /** The argument {@code x-priority}; 0 if it is absent. */
    @Override
    public int priority() {
        return arguments.get("x-priority") instanceof Number n ? n.intValue() : 0;
    }

    @Override
    public int maxInFlight() {
        return channel.deliveries().prefetchLimit(tag);
    }

    @Override
    public boolean hasCapacity() {
        return channel.writable() && channel.deliveries().canDeliver(tag);
    }

    @Override
    public ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, SettlementListener listener) {
        long number = channel.deliveries().deliver(tag, listener, channel.nowMs());
        Method method = Method.of(MethodId.BASIC_DELIVER, tag, number, redelivered, "", queue.name());
        return channel.send(new Frame.Content(channel.number(), method, properties, body));
    }

    String tag() {
        return tag;
    }
}
