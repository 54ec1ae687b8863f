package slipfield.transport.amqp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.Properties.Property;
import slipfield.amqp.decide.Consumers;
import slipfield.amqp.server.AmqpConfig;
import slipfield.amqp.server.Consuming;
import slipfield.amqp.server.Subscription;
import slipfield.core.Directory;
import slipfield.core.Transport;
import slipfield.journal.Held;
import slipfield.policy.Relay.Outcome;

/**
 * Queues whose consumers are endpoints: each comes and goes by the core's directory port, and an attempt is one delivery to
 * one consumer. What finds no room there stands in a line as long as the consumer has slots, and beyond it is turned away
 * unseen. On the core's loop.
 */
public final class Queues implements Transport, Directory, Consuming {
    private static final double DEFAULT_WEIGHT = 1;

    private final EventLoop loop;
    private final AmqpConfig config;
    private final Ends ends;
    private final Consumers consumers;
    private final Map<String, Line> lines = new HashMap<>();
    private final Map<Long, String> endpoints = new HashMap<>();
    private Lists lists;
    private Future<?> tick;

    /** A consumer that is here, and the attempts that wait for it. */
    private static final class Line {
        private final Subscription subscription;
        private final Deque<Call> waiting = new ArrayDeque<>();

        private Line(Subscription subscription) {
            this.subscription = subscription;
        }
    }

    public Queues(EventLoop loop, AmqpConfig config, Ends ends) {
        this.loop = loop;
        this.config = config;
        this.ends = ends;
        this.consumers = new Consumers(config.limits().awayMs());
    }

    // ---- consumers as endpoints ----

    /** There is nothing to watch: consumers come by themselves. */
    @Override
    public void start(Lists to) {
        lists = to;
    }

    /** Never by itself: what an earlier life held waits for the platform's list, not for the first consumer. */
    @Override
    public boolean fresh() {
        return false;
    }

    @Override
    public boolean mayCome(Subscription subscription, boolean exclusive) {
        return lists != null && consumers.mayCome(subscription.name(), subscription.queue().name(), exclusive);
    }

    @Override
    public void came(Subscription subscription, boolean exclusive) {
        lines.put(subscription.name(), new Line(subscription));
        tell(consumers.came(subscription.name(), subscription.queue().name(), exclusive),
                Math.max(DEFAULT_WEIGHT, DEFAULT_WEIGHT + subscription.priority()));
    }

    @Override
    public void left(Subscription subscription) {
        Line line = lines.remove(subscription.name());
        tell(consumers.left(subscription.name(), nowMs()), DEFAULT_WEIGHT);
        // They were not sent, and can go elsewhere.
        List.copyOf(line.waiting).forEach(call -> call.end(Outcome.NOT_SENT));
        forgetLater();
    }

    private void tell(Consumers.Entry entry, double weight) {
        AmqpConfig.Queue queue = config.queues().get(entry.queue());
        lists.listed(false, List.of(new Entry(entry.name(), new ConsumerAddress(entry.name()), queue.zone(), queue.kind(),
                queue.destination(), entry.serving(), weight, entry.gone())));
    }

    private void forgetLater() {
        OptionalDouble next = consumers.nextMs();
        if (tick != null) {
            tick.cancel(false);
        }
        if (next.isPresent()) {
            tick = loop.schedule(() -> {
                consumers.forgotten(nowMs()).forEach(gone -> tell(gone, DEFAULT_WEIGHT));
                forgetLater();
            }, (long) Math.max(1, next.getAsDouble() - nowMs()), TimeUnit.MILLISECONDS);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    @Override
    public int consumers(String queue) {
        return consumers.here(queue);
    }

    // ---- attempts ----

    @Override
    public void start() {
        // Nothing is kept open here but what consumers opened.
    }

    @Override
    public void at(long endpoint, SocketAddress address, boolean serving) {
        endpoints.put(endpoint, ((ConsumerAddress) address).name());
    }

    @Override
    public void stop(long endpoint) {
        // A consumer that is out of service has no line any more.
    }

    @Override
    public void forget(long endpoint) {
        endpoints.remove(endpoint);
    }

    @Override
    public void closeIdle(long endpoint) {
        // A consumer's connection is its own.
    }

    @Override
    public Attempt attempt(Held held, int number, long endpoint, double timeoutMs, long decidedNanos) {
        double leftMs = Math.max(0, timeoutMs - (System.nanoTime() - decidedNanos) / 1e6);
        Line line = lines.get(endpoints.get(endpoint));
        Call call = new Call(held, number, line, leftMs);
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(leftMs * 1000), TimeUnit.MICROSECONDS);
        if (line == null) {
            call.end(Outcome.NOT_SENT);
        } else if (line.waiting.isEmpty() && line.subscription.room()) {
            call.deliver();
        } else if (line.waiting.size() < line.subscription.slots()) {
            line.waiting.addLast(call);
        } else {
            call.end(Outcome.FULL);
        }
        return call;
    }

    @Override
    public void room(Subscription subscription) {
        Line line = lines.get(subscription.name());
        while (line != null && !line.waiting.isEmpty() && subscription.room()) {
            line.waiting.pollFirst().deliver();
        }
    }

    /** An attempt: first in a consumer's line, perhaps, then out to it. */
    private final class Call implements Attempt {
        private final Held held;
        private final int number;
        private final Line line;
        private final double timeoutMs;
        private final long startedNanos = System.nanoTime();
        private Future<?> timer;
        private ChannelFuture written;
        private boolean done;

        private Call(Held held, int number, Line line, double timeoutMs) {
            this.held = held;
            this.number = number;
            this.line = line;
            this.timeoutMs = timeoutMs;
        }

        @Override
        public Held held() {
            return held;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public long startedNanos() {
            return startedNanos;
        }

        /** What is out can't be called back; its consumer may run it. */
        @Override
        public void cancel() {
            end(written == null ? Outcome.NOT_SENT : Outcome.CANCELLED);
        }

        private void deliver() {
            Properties properties = Properties.NONE.with(Property.MESSAGE_ID, held.id)
                    .with(Property.CORRELATION_ID, held.key.orElse(null))
                    .with(Property.EXPIRATION, Long.toString(Math.max(1, (long) timeoutMs)))
                    .with(Property.TYPE, held.messageClass);
            written = line.subscription.deliver(properties, held.body, number > 0, this::settled);
            written.addListener(f -> {
                if (!f.isSuccess()) {
                    // The connection went before the last octet was out.
                    end(Outcome.UNREACHABLE);
                }
            });
        }

        private void settled(Subscription.How how) {
            switch (how) {
                case ACKED -> end(Outcome.DELIVERED);
                case REQUEUED -> end(Outcome.FULL);
                case REJECTED -> end(Outcome.ERROR);
                // Unless the write has failed, which is known when the connection is closed, it may have come over.
                case LOST -> loop.execute(() -> end(written.isDone() && !written.isSuccess() ? Outcome.UNREACHABLE
                        : Outcome.BROKEN));
                default -> throw new IllegalStateException();
            }
        }

        /** What waits in the line was never sent; what was written may have run, be it flushed yet or not. */
        private void timedOut() {
            end(written == null ? Outcome.NOT_SENT : Outcome.TIMED_OUT);
        }

        private void end(Outcome outcome) {
            if (done) {
                return;
            }
            done = true;
            timer.cancel(false);
            if (line != null && written == null) {
                line.waiting.remove(this);
            }
            // Never at once: an end may be found while the module is being called.
            loop.execute(() -> ends.ended(this, outcome, false, 0, 0));
        }
    }
}
