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
import slipfield.log.Log;

/**
 * A queue of a broker elsewhere that is consumed: what is delivered there is handed in here, and acknowledged once it has
 * its end. A refused one goes back to the queue after the wait that was told, a failed one is rejected: to the broker's dead
 * letters, where it has any. What was unsettled when the link fell comes again, under the id that is known here.
 */
public final class BrokerConsumer implements BrokerLink.Listener {
    /** A refusal that tells no wait is not given back at once, to be delivered and refused again in the same moment. */
    private static final long LEAST_WAIT_MS = 250;

    private final EventLoop loop;
    private final AmqpConfig.Inbound config;
    private final PublishHandler publishing;
    private final String epoch;
    private final BrokerLink link;
    private Life life;
    private int lives;

    /** Will consume there, and hand in at this front; {@code epoch}: another in each life of the sender. */
    public BrokerConsumer(EventLoop loop, AmqpConfig.Inbound config, Optional<SslContext> tls, AmqpConfig.Limits limits,
            String epoch, PublishHandler publishing) {
        this.loop = loop;
        this.config = config;
        this.publishing = publishing;
        this.epoch = epoch;
        this.link = new BrokerLink(loop, config.broker(), tls, limits.tuning(), limits.bodyOctets(), this);
    }

    /** Connects, and again whenever it is down. */
    public void dial() {
        link.dial();
    }

    /** Takes no more; what is unsettled is settled still, and then the connection is closed. */
    public void close() {
        if (life == null) {
            link.close();
        } else {
            life.ending = true;
            link.send(MethodId.BASIC_CANCEL, config.broker().name(), true);
            life.endIfIdle();
        }
    }

    @Override
    public void opened() {
        Log.info("amqp.broker_open", "broker", config.broker().name());
        life = new Life(epoch + "-in/" + config.broker().name() + "." + ++lives);
        link.send(MethodId.BASIC_QOS, 0L, config.prefetch(), false);
        link.send(MethodId.BASIC_CONSUME, 0, config.queue(), config.broker().name(), false, false, false, false, Map.of());
    }

    @Override
    public void method(Method m) {
        switch (m.id()) {
            case BASIC_QOS_OK, BASIC_CONSUME_OK, BASIC_CANCEL_OK -> { }
            case BASIC_CANCEL -> link.fail("the queue is gone there");
            case CHANNEL_FLOW -> link.send(MethodId.CHANNEL_FLOW_OK, m.flag("active"));
            default -> link.fail(m.id() + " came, which nobody asked for");
        }
    }

    @Override
    public void content(Method m, Properties properties, byte[] body) {
        if (m.id() != MethodId.BASIC_DELIVER) {
            link.fail(m.id() + " came, which nobody asked for");
            return;
        }
        life.out++;
        publishing.published(life, new Publication(m.number("delivery-tag"), config.user(), config.exchange(),
                m.text("routing-key"), properties, body));
    }

    /** What came together goes into the journal in one write. */
    @Override
    public void readComplete() {
        publishing.batchEnded();
    }

    @Override
    public void lost() {
        Life over = life;
        life = null;
        over.gone = true;
        publishing.publisherClosed(over);
    }

    @Override
    public void writable() {
        // What it writes are settlements, as many as it was allowed deliveries.
    }

    /** What one link had delivered. */
    private final class Life implements Publisher {
        private final String peer;
        private final Map<Long, Long> refused = new HashMap<>();
        private boolean gone;
        private boolean ending;
        private int out;

        private Life(String peer) {
            this.peer = peer;
        }

        @Override
        public String peer() {
            return peer;
        }

        @Override
        public void returnMessage(Publication p, ReplyCode code, String text, Map<String, Object> headers) {
            if (ReturnHeaders.isRefused(headers)) {
                refused.put(p.tag(), Math.max(LEAST_WAIT_MS, ReturnHeaders.waitMs(headers)));
            }
        }

        @Override
        public void confirm(Publication p, boolean ack) {
            Long waitMs = refused.remove(p.tag());
            if (ack) {
                settle(MethodId.BASIC_ACK, p.tag(), false);
            } else if (waitMs == null) {
                settle(MethodId.BASIC_REJECT, p.tag(), false);
            } else {
                loop.schedule(() -> settle(MethodId.BASIC_REJECT, p.tag(), true), waitMs, TimeUnit.MILLISECONDS);
            }
        }

        private void settle(MethodId id, long tag, boolean flag) {
            if (!gone) {
                out--;
                link.send(id, tag, flag);
                endIfIdle();
            }
        }

        private void endIfIdle() {
            if (ending && out == 0) {
                link.close();
            }
        }

        @Override
        public void flush() {
            // Each settlement is sent by itself; the connection's flushes are put together there.
        }
    }
}
