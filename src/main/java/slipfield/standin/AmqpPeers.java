package slipfield.standin;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Secret;
import slipfield.amqp.client.BrokerLink;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.decide.Tuning;

/**
 * Publishers and consumers of a sender's AMQP on one loop: each publisher keeps so many messages out, each consumer
 * acknowledges at once. The counts are right when they are asked for on the loop.
 */
public final class AmqpPeers implements AutoCloseable {
    /** The one user of the sender's file, and what is set up there. */
    public static final String USER = "guest";
    public static final String EXCHANGE = "orders";
    public static final String QUEUE = "to-consume";
    /** The destination of the queue's consumers. */
    public static final long CONSUMED = 7;
    private static final Tuning TUNING = new Tuning(64, 131_072, 10_000);
    private static final int MOST_BODY = 1 << 20;
    private static final long LONGEST_MICROS = TimeUnit.SECONDS.toMicros(60);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<BrokerLink> links = new ArrayList<>();
    private final Histogram latency = new Histogram(LONGEST_MICROS, 3);
    private long confirmed;
    private long refused;
    private long opened;
    private boolean stopped;

    public AmqpPeers(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /** The sender's file for these peers, listening there. */
    public static String file(InetSocketAddress listen) {
        return """
                listen: 127.0.0.1:%d
                users:
                  - {name: %s, secret: "%s", tenant: %s, publish: [%s], consume: [%s]}
                exchanges:
                  - name: %s
                    routes:
                      - {key: %s.*, class: %s, destination_word: 2}
                      - {key: %s.*, class: %s, destination_word: 2}
                queues:
                  - {name: %s, destination: %d, kind: m, zone: a}
                limits: {connections: 2000, unsettled: 2000, prefetch: 256}
                """.formatted(listen.getPort(), USER, Secret.of(USER), TrialWorld.TENANT, EXCHANGE, QUEUE, EXCHANGE,
                TrialWorld.KEYED, TrialWorld.KEYED, TrialWorld.ONCE, TrialWorld.ONCE, QUEUE, CONSUMED);
    }

    private void link(BrokerLink.Listener listener, List<BrokerLink> own) {
        AmqpConfig.Broker broker = new AmqpConfig.Broker("sender", address, "/", USER, Optional.of(USER), Optional.empty());
        BrokerLink link = new BrokerLink(loop, broker, Optional.empty(), TUNING, MOST_BODY, listener);
        own.add(link);
        links.add(link);
        link.dial();
    }

    /** So many connections, each with so many publishes out, to a destination. */
    public void publish(int connections, int window, long destination) {
        loop.execute(() -> {
            for (int i = 0; i < connections; i++) {
                Publishing publishing = new Publishing(i, window, TrialWorld.KEYED + "." + destination);
                link(publishing, publishing.own);
            }
        });
    }

    /** So many consumers, each with its own connection. */
    public void consume(int connections, int prefetch) {
        loop.execute(() -> {
            for (int i = 0; i < connections; i++) {
                Consuming consuming = new Consuming("c" + i, prefetch);
                link(consuming, consuming.own);
            }
        });
    }

    /** So many connections that do nothing, with so many channels each. */
    public void rest(int connections, int channels) {
        loop.execute(() -> {
            for (int i = 0; i < connections; i++) {
                Peer resting = new Peer() {
                    @Override
                    public void opened() {
                        super.opened();
                        for (int c = 2; c <= channels; c++) {
                            link().send(new Frame.OfMethod(c, Method.of(MethodId.CHANNEL_OPEN, "")));
                        }
                    }
                };
                link(resting, resting.own);
            }
        });
    }

    /** Connections that were opened. */
    public long opened() {
        return loop.submit(() -> opened).syncUninterruptibly().getNow();
    }

    /** Publishes that were confirmed by an ack so far. */
    public long confirmed() {
        return loop.submit(() -> confirmed).syncUninterruptibly().getNow();
    }

    /** Publishes that were given back so far. */
    public long refused() {
        return loop.submit(() -> refused).syncUninterruptibly().getNow();
    }

    /** From publish to ack, in microseconds, since it was last asked for. */
    public Histogram latency() {
        return loop.submit(() -> {
            Histogram since = latency.copy();
            latency.reset();
            return since;
        }).syncUninterruptibly().getNow();
    }

    /** Publishes no more. */
    public void stop() {
        loop.submit(() -> stopped = true).syncUninterruptibly();
    }

    @Override
    public void close() {
        loop.submit(() -> links.forEach(BrokerLink::close)).syncUninterruptibly();
    }

    /** One connection. */
    private class Peer implements BrokerLink.Listener {
        final List<BrokerLink> own = new ArrayList<>(1);

        BrokerLink link() {
            return own.get(0);
        }

        @Override
        public void opened() {
            opened++;
        }

        @Override
        public void method(Method method) {
            // Answers to what was asked for.
        }

        @Override
        public void content(Method method, Properties properties, byte[] body) {
            refused++;
        }

        @Override
        public void lost() {
            // It is dialled again.
        }

        @Override
        public void writable() {
            // There is never more out than its window.
        }
    }

    private final class Consuming extends Peer {
        private final String tag;
        private final int prefetch;

        Consuming(String tag, int prefetch) {
            this.tag = tag;
            this.prefetch = prefetch;
        }

        @Override
        public void opened() {
            super.opened();
            link().send(MethodId.BASIC_QOS, 0L, prefetch, false);
            link().send(MethodId.BASIC_CONSUME, 0, QUEUE, tag, false, false, false, false, Map.of());
        }

        @Override
        public void content(Method method, Properties properties, byte[] body) {
            link().send(MethodId.BASIC_ACK, method.number("delivery-tag"), false);
        }
    }

    private final class Publishing extends Peer {
        private final int number;
        private final int window;
        private final Method publish;
        private final byte[] body = new byte[100];
        /** When each that is out was published, by its number. */
        private final TreeMap<Long, Long> out = new TreeMap<>();
        private long tag;
        private long made;
        private int life;

        Publishing(int number, int window, String key) {
            this.number = number;
            this.window = window;
            this.publish = Method.of(MethodId.BASIC_PUBLISH, 0, EXCHANGE, key, true, false);
        }

        @Override
        public void opened() {
            super.opened();
            out.clear();
            tag = 0;
            life++;
            link().send(MethodId.CONFIRM_SELECT, false);
        }

        @Override
        public void method(Method method) {
            if (method.id() == MethodId.BASIC_ACK || method.id() == MethodId.BASIC_NACK) {
                long upTo = method.number("delivery-tag");
                long now = System.nanoTime();
                List<Long> tags = method.flag("multiple") ? new ArrayList<>(out.headMap(upTo, true).keySet()) : List.of(upTo);
                for (long each : tags) {
                    Long since = out.remove(each);
                    if (since != null && method.id() == MethodId.BASIC_ACK) {
                        confirmed++;
                        latency.recordValue(Math.min(LONGEST_MICROS, (now - since) / 1000));
                    }
                }
            }
            while (!stopped && out.size() < window && link().writable()) {
                out.put(++tag, System.nanoTime());
                String id = number + "-" + life + "-" + ++made;
                link().send(new Frame.Content(BrokerLink.CHANNEL, publish, Properties.NONE.with(
                        Properties.Property.MESSAGE_ID, id).with(Properties.Property.CORRELATION_ID, id), body));
            }
        }
    }
}
