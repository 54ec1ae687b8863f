package slipfield.amqp.client;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.PublishHandler;
import slipfield.amqp.ReturnHeaders;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.RedeliveryRule;
import slipfield.log.Log;

/**
 * Consumes a queue of another broker. Its deliveries are submitted here and acknowledged once they have their final answer. A
 * refused message is requeued after the requested delay or, if it must not run twice, submitted again here. A failed one is
 * rejected, so that the broker moves it to its dead letters if it has any. Messages that were unsettled when the link was lost
 * stay accepted; the broker delivers them again, to this consumer under their known ids or to another, as {@link RedeliveryRule}
 * describes.
 */
public final class BrokerConsumer implements BrokerLink.Listener {
    /** The minimum delay before a refused message is requeued or submitted again. Without it that would happen at once. */
    private static final long MIN_RETRY_DELAY_MS = 250;

    private final EventLoop loop;
    private final AmqpConfig.Inbound config;
    private final PublishHandler publishHandler;
    private final String epoch;
    private final BrokerLink link;
    private Session session;
    private int sessions;

    /** Passes messages to {@code publishHandler}; {@code epoch}: differs for every process, so that peer names are unique. */
    public BrokerConsumer(EventLoop loop, AmqpConfig.Inbound config, Optional<SslContext> tls, AmqpConfig.Limits limits,
            String epoch, PublishHandler publishHandler) {
        this.loop = loop;
        this.config = config;
        this.publishHandler = publishHandler;
        this.epoch = epoch;
        this.link = new BrokerLink(loop, config.broker(), tls, limits.tuning(), limits.bodyOctets(), this);
    }

    /** Connects, and reconnects whenever the link is lost. */
    public void dial() {
        link.dial();
    }

    /** Stops consuming, and closes the connection once all deliveries are settled. */
    public void close() {
        if (session == null) {
            link.close();
        } else {
            session.closing = true;
            link.send(MethodId.BASIC_CANCEL, config.broker().name(), true);
            session.closeIfIdle();
        }
    }

    @Override
    public void opened() {
        Log.info("amqp.broker_open", "broker", config.broker().name());
        session = new Session(epoch + "-in/" + config.broker().name() + "." + ++sessions);
        link.send(MethodId.BASIC_QOS, 0L, config.prefetch(), false);
        link.send(MethodId.BASIC_CONSUME, 0, config.queue(), config.broker().name(), false, false, false, false, Map.of());
    }

    @Override
    public void method(Method m) {
        switch (m.id()) {
            case BASIC_QOS_OK, BASIC_CONSUME_OK, BASIC_CANCEL_OK -> { }
            case BASIC_CANCEL -> link.fail("the broker cancelled the consumer");
            case CHANNEL_FLOW -> link.send(MethodId.CHANNEL_FLOW_OK, m.flag("active"));
            default -> link.fail(m.id() + " is unexpected");
        }
    }

    @Override
    public void content(Method m, Properties properties, byte[] body) {
        if (m.id() != MethodId.BASIC_DELIVER) {
            link.fail(m.id() + " is unexpected");
            return;
        }
        session.unsettled++;
        publishHandler.published(session, new Publication(m.number("delivery-tag"), config.user(), config.exchange(),
                m.text("routing-key"), properties, body, m.flag("redelivered") ? RedeliveryRule.Origin.REDELIVERED
                        : RedeliveryRule.Origin.DELIVERED));
    }

    /** Messages that were read together are written to the journal in one write. */
    @Override
    public void readComplete() {
        publishHandler.batchEnded();
    }

    @Override
    public void lost() {
        Session lost = session;
        session = null;
        lost.closed = true;
        publishHandler.publisherClosed(lost);
    }

    @Override
    public void writable() {
        // Only settlements are written, and the prefetch limits their number.
    }

    /** The deliveries of one connection. */
    private final class Session implements Publisher {
        private final String peer;
        private final Map<Long, Long> requeueDelays = new HashMap<>();
        private boolean closed;
        private boolean closing;
        private int unsettled;

        private Session(String peer) {
            this.peer = peer;
        }

        @Override
        public String peer() {
            return peer;
        }

        @Override
        public void returnMessage(Publication p, ReplyCode code, String text, Map<String, Object> headers) {
            if (ReturnHeaders.isRefused(headers)) {
                requeueDelays.put(p.tag(), Math.max(MIN_RETRY_DELAY_MS, ReturnHeaders.waitMs(headers)));
            }
        }

        @Override
        public boolean submitLater(Publication p, long delayMs) {
            loop.schedule(() -> submitAgain(p), Math.max(MIN_RETRY_DELAY_MS, delayMs), TimeUnit.MILLISECONDS);
            return true;
        }

        private void submitAgain(Publication p) {
            if (!closed) {
                publishHandler.published(this, p);
                publishHandler.batchEnded();
            }
        }

        @Override
        public void confirm(Publication p, boolean ack) {
            Long waitMs = requeueDelays.remove(p.tag());
            if (ack) {
                settle(MethodId.BASIC_ACK, p.tag(), false);
            } else if (waitMs == null) {
                settle(MethodId.BASIC_REJECT, p.tag(), false);
            } else {
                loop.schedule(() -> settle(MethodId.BASIC_REJECT, p.tag(), true), waitMs, TimeUnit.MILLISECONDS);
            }
        }

        private void settle(MethodId id, long tag, boolean requeue) {
            if (!closed) {
                unsettled--;
                link.send(id, tag, requeue);
                closeIfIdle();
            }
        }

        private void closeIfIdle() {
            if (closing && unsettled == 0) {
                link.close();
            }
        }

        @Override
        public void flush() {
            // Settlements are sent at once; the connection consolidates the flushes.
        }
    }
}
