package slipfield.amqp.client;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ConsumerHandler;
import slipfield.amqp.Receiver;
import slipfield.amqp.ReturnHeaders;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.decide.UnackedDeliveries;
import slipfield.log.Log;

/**
 * A broker elsewhere that is published to, as an endpoint: an attempt is one publish, and its confirm what became of it. What
 * the broker returns as {@code refused} it has not run; what it returns in other words it has not routed anywhere. A nack
 * without a return says nothing of whether it ran.
 */
public final class BrokerPublisher implements Receiver, BrokerLink.Listener {
    private static final String ONLY = "";

    private final AmqpConfig.Outbound config;
    private final ConsumerHandler consuming;
    private final BrokerLink link;
    private UnackedDeliveries<SettlementListener> out;
    /** What was returned and not yet confirmed, by message id; how, and the wait that was told. */
    private final Map<String, Returned> returned = new HashMap<>();
    private final Map<Long, String> ids = new HashMap<>();

    private record Returned(Settlement how, long waitMs) {
    }

    /** Will publish there, and say here whether it can. */
    public BrokerPublisher(EventLoop loop, AmqpConfig.Outbound config, Optional<SslContext> tls, AmqpConfig.Limits limits,
            ConsumerHandler consuming) {
        this.config = config;
        this.consuming = consuming;
        this.link = new BrokerLink(loop, config.broker(), tls, limits.tuning(), limits.bodyOctets(), this);
    }

    /** Connects, and again whenever it is down. */
    public void dial() {
        link.dial();
    }

    // ---- the endpoint ----

    @Override
    public String name() {
        return "out/" + config.broker().name();
    }

    @Override
    public AmqpConfig.Queue queue() {
        return config.queue();
    }

    @Override
    public int priority() {
        return 0;
    }

    @Override
    public int maxInFlight() {
        return config.inFlight();
    }

    @Override
    public boolean hasCapacity() {
        return link.writable() && out != null && out.canDeliver(ONLY);
    }

    @Override
    public ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, SettlementListener then) {
        long tag = out.deliver(ONLY, then, 0);
        ids.put(tag, properties.text(Properties.Property.MESSAGE_ID));
        return link.send(new Frame.Content(BrokerLink.CHANNEL, Method.of(MethodId.BASIC_PUBLISH, 0, config.exchange(),
                config.key(), true, false), properties, body));
    }

    // ---- the link ----

    @Override
    public void opened() {
        link.send(MethodId.CONFIRM_SELECT, false);
    }

    @Override
    public void method(Method m) {
        switch (m.id()) {
            case CONFIRM_SELECT_OK -> {
                // Publish numbers begin anew with each channel.
                out = new UnackedDeliveries<>(config.inFlight());
                out.addConsumer(ONLY);
                Log.info("amqp.broker_open", "broker", config.broker().name());
                consuming.consumerAdded(this, false);
            }
            case BASIC_ACK -> confirmed(m, true);
            case BASIC_NACK -> confirmed(m, false);
            case CHANNEL_FLOW -> {
                out.flow(m.flag("active"));
                link.send(MethodId.CHANNEL_FLOW_OK, m.flag("active"));
                consuming.capacityFreed(this);
            }
            default -> link.fail(m.id() + " came, which nobody asked for");
        }
    }

    @Override
    public void content(Method m, Properties properties, byte[] body) {
        if (m.id() == MethodId.BASIC_RETURN) {
            Map<String, Object> headers = properties.headers();
            returned.put(properties.text(Properties.Property.MESSAGE_ID), new Returned(ReturnHeaders.isFailed(headers)
                    ? Settlement.REJECTED : Settlement.REQUEUED, ReturnHeaders.waitMs(headers)));
        }
    }

    private void confirmed(Method m, boolean ack) {
        Optional<List<UnackedDeliveries.Delivery<SettlementListener>>> settled = out == null ? Optional.empty()
                : out.settle(m.number("delivery-tag"), m.flag("multiple"));
        if (settled.isEmpty()) {
            link.fail("a confirm for nothing that is out");
            return;
        }
        for (UnackedDeliveries.Delivery<SettlementListener> one : settled.get()) {
            // A broker that can't route a message returns it and confirms it all the same.
            Returned back = returned.remove(ids.remove(one.tag()));
            Settlement how = back != null ? back.how : ack ? Settlement.ACKED : Settlement.REJECTED;
            one.payload().settled(how, back == null ? 0 : back.waitMs);
        }
        consuming.capacityFreed(this);
    }

    @Override
    public void writable() {
        consuming.capacityFreed(this);
    }

    @Override
    public void lost() {
        if (out != null) {
            UnackedDeliveries<SettlementListener> lost = out;
            out = null;
            ids.clear();
            returned.clear();
            consuming.consumerRemoved(this);
            lost.settle(0, true).orElseThrow().forEach(one -> one.payload().settled(Settlement.LOST, 0));
        }
    }
}
