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
 * Publishes to another broker, which is an endpoint: an attempt is one publish, and its confirm is the outcome. A returned
 * message did not run, unless its headers say {@code failed}: it was refused by a sender or not routed by a broker. After a
 * nack without a return the message may have run.
 */
public final class BrokerPublisher implements Receiver, BrokerLink.Listener {
    private static final String CONSUMER_TAG = "";

    private final AmqpConfig.Outbound config;
    private final ConsumerHandler consumerHandler;
    private final BrokerLink link;
    private UnackedDeliveries<SettlementListener> unconfirmed;
    /** Messages that were returned and are not confirmed yet, by message id. */
    private final Map<String, Returned> returned = new HashMap<>();
    private final Map<Long, String> messageIds = new HashMap<>();

    private record Returned(Settlement settlement, long waitMs) {
    }

    /** Reports the broker as a consumer to {@code consumerHandler} while the link is up. */
    public BrokerPublisher(EventLoop loop, AmqpConfig.Outbound config, Optional<SslContext> tls, AmqpConfig.Limits limits,
            ConsumerHandler consumerHandler) {
        this.config = config;
        this.consumerHandler = consumerHandler;
        this.link = new BrokerLink(loop, config.broker(), tls, limits.tuning(), limits.bodyOctets(), this);
    }

    /** Connects, and reconnects whenever the link is lost. */
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
        return link.writable() && unconfirmed != null && unconfirmed.canDeliver(CONSUMER_TAG);
    }

    @Override
    public ChannelFuture deliver(Properties properties, byte[] body, boolean redelivered, SettlementListener listener) {
        long tag = unconfirmed.deliver(CONSUMER_TAG, listener, 0);
        messageIds.put(tag, properties.text(Properties.Property.MESSAGE_ID));
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
                // Delivery tags start at 1 on each channel.
                unconfirmed = new UnackedDeliveries<>(config.inFlight());
                unconfirmed.addConsumer(CONSUMER_TAG);
                Log.info("amqp.broker_open", "broker", config.broker().name());
                consumerHandler.consumerAdded(this, false);
            }
            case BASIC_ACK -> confirmed(m, true);
            case BASIC_NACK -> confirmed(m, false);
            case CHANNEL_FLOW -> {
                unconfirmed.flow(m.flag("active"));
                link.send(MethodId.CHANNEL_FLOW_OK, m.flag("active"));
                consumerHandler.capacityFreed(this);
            }
            default -> link.fail(m.id() + " is unexpected");
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
        Optional<List<UnackedDeliveries.Delivery<SettlementListener>>> settled = unconfirmed == null ? Optional.empty()
                : unconfirmed.settle(m.number("delivery-tag"), m.flag("multiple"));
        if (settled.isEmpty()) {
            link.fail("a confirm for an unknown delivery tag");
            return;
        }
        for (UnackedDeliveries.Delivery<SettlementListener> one : settled.get()) {
            // A broker that can't route a message returns it and confirms it nevertheless.
            Returned returnedAs = returned.remove(messageIds.remove(one.tag()));
            Settlement settlement = returnedAs != null ? returnedAs.settlement : ack ? Settlement.ACKED : Settlement.REJECTED;
            one.payload().settled(settlement, returnedAs == null ? 0 : returnedAs.waitMs);
        }
        consumerHandler.capacityFreed(this);
    }

    @Override
    public void writable() {
        consumerHandler.capacityFreed(this);
    }

    @Override
    public void lost() {
        if (unconfirmed != null) {
            UnackedDeliveries<SettlementListener> lost = unconfirmed;
            unconfirmed = null;
            messageIds.clear();
            returned.clear();
            consumerHandler.consumerRemoved(this);
            lost.settle(0, true).orElseThrow().forEach(one -> one.payload().settled(Settlement.LOST, 0));
        }
    }
}
