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
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ConsumerHandler;
import slipfield.amqp.Receiver;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.Properties.Property;
import slipfield.amqp.decide.ConsumerRegistry;
import slipfield.core.Directory;
import slipfield.core.Transport;
import slipfield.journal.PendingMessage;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;
import slipfield.policy.DeliveryPolicy.AttemptTiming;
import slipfield.policy.DeliveryPolicy.LimitReport;

/**
 * Queues whose consumers are endpoints: each comes and goes by the core's directory port, and an attempt is one delivery to
 * one consumer. What finds no room there stands in a line as long as the consumer has slots, and beyond it is turned away
 * unseen. On the core's loop.
 */
public final class ConsumerTransport implements Transport, Directory, ConsumerHandler {
    private final EventLoop loop;
    /** By name, those of whoever came so far: one that left is told of once more. */
    private final Map<String, AmqpConfig.Queue> queues = new HashMap<>();
    private final AttemptListener ends;
    private final ConsumerRegistry consumers;
    private final Map<String, Line> lines = new HashMap<>();
    private final Map<Long, String> endpoints = new HashMap<>();
    private EndpointListener lists;
    private Future<?> tick;

    /** One that is here, and the attempts that wait for it. */
    private static final class Line {
        private final Receiver receiver;
        private final Deque<Call> waiting = new ArrayDeque<>();

        private Line(Receiver receiver) {
            this.receiver = receiver;
        }
    }

    /** {@code awayMs}: one that left is remembered for so long. */
    public ConsumerTransport(EventLoop loop, long awayMs, AttemptListener ends) {
        this.loop = loop;
        this.ends = ends;
        this.consumers = new ConsumerRegistry(awayMs);
    }

    // ---- consumers as endpoints ----

    /** There is nothing to watch: consumers come by themselves. */
    @Override
    public void start(EndpointListener to) {
        lists = to;
    }

    /** Never by itself: what an earlier life held waits for the platform's list, not for the first consumer. */
    @Override
    public boolean fresh() {
        return false;
    }

    @Override
    public boolean canAdd(Receiver receiver, boolean exclusive) {
        return lists != null && consumers.canAdd(receiver.name(), receiver.queue().name(), exclusive);
    }

    @Override
    public void consumerAdded(Receiver receiver, boolean exclusive) {
        lines.put(receiver.name(), new Line(receiver));
        queues.put(receiver.queue().name(), receiver.queue());
        tell(consumers.add(receiver.name(), receiver.queue().name(), exclusive, receiver.priority()));
    }

    @Override
    public void consumerRemoved(Receiver receiver) {
        Line line = lines.remove(receiver.name());
        tell(consumers.remove(receiver.name(), nowMs()));
        // They were not sent, and can go elsewhere.
        List.copyOf(line.waiting).forEach(call -> call.end(AttemptOutcome.NOT_SENT));
        forgetLater();
    }

    private void tell(List<ConsumerRegistry.EndpointUpdate> changed) {
        lists.endpointsChanged(false, changed.stream().map(entry -> {
            AmqpConfig.Queue queue = queues.get(entry.queue());
            return new Entry(entry.name(), new ConsumerAddress(entry.name()), queue.zone(), queue.kind(), queue.destination(),
                    entry.inService(), 0, entry.removed());
        }).toList());
    }

    private void forgetLater() {
        OptionalDouble next = consumers.nextExpiryMs();
        if (tick != null) {
            tick.cancel(false);
        }
        if (next.isPresent()) {
            tick = loop.schedule(() -> {
                List<ConsumerRegistry.EndpointUpdate> gone = consumers.removeExpired(nowMs());
                if (!gone.isEmpty()) {
                    tell(gone);
                }
                forgetLater();
            }, (long) Math.max(1, next.getAsDouble() - nowMs()), TimeUnit.MILLISECONDS);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    @Override
    public int consumerCount(String queue) {
        return consumers.count(queue);
    }

    // ---- attempts ----

    @Override
    public void start() {
        // Nothing is kept open here but what consumers opened.
    }

    @Override
    public void updateEndpoint(long endpoint, SocketAddress address, boolean serving) {
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
    public Attempt attempt(PendingMessage held, int number, long endpoint, AttemptTiming within, long decidedNanos) {
        double leftMs = Math.max(0, within.timeoutMs() - (System.nanoTime() - decidedNanos) / 1e6);
        Line line = lines.get(endpoints.get(endpoint));
        Call call = new Call(held, number, line, leftMs, decidedNanos, within.latestWriteMs());
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(leftMs * 1000), TimeUnit.MICROSECONDS);
        if (line == null) {
            call.end(AttemptOutcome.NOT_SENT);
        } else if (line.waiting.isEmpty() && line.receiver.hasCapacity()) {
            call.deliver();
        } else if (line.waiting.size() < line.receiver.maxInFlight()) {
            line.waiting.addLast(call);
        } else {
            call.end(AttemptOutcome.FULL);
        }
        return call;
    }

    @Override
    public void capacityFreed(Receiver receiver) {
        Line line = lines.get(receiver.name());
        while (line != null && !line.waiting.isEmpty() && receiver.hasCapacity()) {
            line.waiting.pollFirst().deliver();
        }
    }

    /** An attempt: first in a consumer's line, perhaps, then out to it. */
    private final class Call implements Attempt {
        private final PendingMessage held;
        private final int number;
        private final Line line;
        private final double timeoutMs;
        private final long decidedNanos;
        private final double writtenMs;
        private final long startedNanos = System.nanoTime();
        private Future<?> timer;
        private ChannelFuture written;
        private boolean done;

        private Call(PendingMessage held, int number, Line line, double timeoutMs, long decidedNanos, double writtenMs) {
            this.held = held;
            this.number = number;
            this.line = line;
            this.timeoutMs = timeoutMs;
            this.decidedNanos = decidedNanos;
            this.writtenMs = writtenMs;
        }

        @Override
        public PendingMessage message() {
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
            end(written == null ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED);
        }

        /** In the line a repeat's window may have passed: then it is not made. */
        private void deliver() {
            if ((System.nanoTime() - decidedNanos) / 1e6 > writtenMs) {
                end(AttemptOutcome.NOT_SENT);
                return;
            }
            Properties properties = Properties.NONE.with(Property.MESSAGE_ID, held.id)
                    .with(Property.CORRELATION_ID, held.key.orElse(null))
                    .with(Property.EXPIRATION, Long.toString(Math.max(1, (long) timeoutMs)))
                    .with(Property.TYPE, held.messageClass);
            written = line.receiver.deliver(properties, held.body, number > 0, this::settled);
            written.addListener(f -> {
                if (!f.isSuccess()) {
                    // The connection went before the last octet was out.
                    end(AttemptOutcome.UNREACHABLE);
                }
            });
        }

        private void settled(Receiver.Settlement how, long waitMs) {
            switch (how) {
                case ACKED -> end(AttemptOutcome.DELIVERED);
                case REQUEUED -> end(AttemptOutcome.FULL, waitMs);
                case REJECTED -> end(AttemptOutcome.ERROR);
                // Unless the write has failed, which is known when the connection is closed, it may have come over.
                case LOST -> loop.execute(() -> end(written.isDone() && !written.isSuccess() ? AttemptOutcome.UNREACHABLE
                        : AttemptOutcome.BROKEN));
                default -> throw new IllegalStateException();
            }
        }

        /** What waits in the line was never sent; what was written may have run, be it flushed yet or not. */
        private void timedOut() {
            end(written == null ? AttemptOutcome.NOT_SENT : AttemptOutcome.TIMED_OUT);
        }

        private void end(AttemptOutcome outcome) {
            end(outcome, 0);
        }

        private void end(AttemptOutcome outcome, long waitMs) {
            if (done) {
                return;
            }
            done = true;
            timer.cancel(false);
            if (line != null && written == null) {
                line.waiting.remove(this);
            }
            // Never at once: an end may be found while the module is being called.
            loop.execute(() -> ends.ended(this, outcome, false, waitMs, LimitReport.NOTHING));
        }
    }
}
