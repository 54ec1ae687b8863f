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
 * Delivers messages to the consumers of queues. Each consumer is an endpoint, reported through the core's directory port, and
 * an attempt is one delivery to one consumer. If the consumer has no capacity, the attempt waits in a queue of up to
 * {@link Receiver#maxInFlight} attempts; further attempts end as {@code FULL}. Runs on the core's event loop.
 */
public final class ConsumerTransport implements Transport, Directory, ConsumerHandler {
    private final EventLoop loop;
    /** Queues by name, of all consumers so far. Kept when a consumer leaves, since its expiry is reported with its queue. */
    private final Map<String, AmqpConfig.Queue> queues = new HashMap<>();
    private final AttemptListener attemptListener;
    private final ConsumerRegistry consumers;
    private final Map<String, ConnectedConsumer> connected = new HashMap<>();
    private final Map<Long, String> endpoints = new HashMap<>();
    private EndpointListener endpointListener;
    private Future<?> expiryTimer;

    /** A connected consumer and the attempts that wait for it. */
    private static final class ConnectedConsumer {
        private final Receiver receiver;
        private final Deque<ConsumerAttempt> waiting = new ArrayDeque<>();

        private ConnectedConsumer(Receiver receiver) {
            this.receiver = receiver;
        }
    }

    /** {@code awayMs}: how long a consumer that left is remembered; {@code attemptListener} is told how attempts end. */
    public ConsumerTransport(EventLoop loop, long awayMs, AttemptListener attemptListener) {
        this.loop = loop;
        this.attemptListener = attemptListener;
        this.consumers = new ConsumerRegistry(awayMs);
    }

    // ---- consumers as endpoints ----

    /** Only stores the listener: consumers connect on their own. */
    @Override
    public void start(EndpointListener listener) {
        endpointListener = listener;
    }

    /** Always false: messages restored from the journal wait for the platform's endpoint list, not for the first consumer. */
    @Override
    public boolean fresh() {
        return false;
    }

    @Override
    public boolean canAdd(Receiver receiver, boolean exclusive) {
        return endpointListener != null && consumers.canAdd(receiver.name(), receiver.queue().name(), exclusive);
    }

    @Override
    public void consumerAdded(Receiver receiver, boolean exclusive) {
        connected.put(receiver.name(), new ConnectedConsumer(receiver));
        queues.put(receiver.queue().name(), receiver.queue());
        reportChanges(consumers.add(receiver.name(), receiver.queue().name(), exclusive, receiver.priority()));
    }

    @Override
    public void consumerRemoved(Receiver receiver) {
        ConnectedConsumer consumer = connected.remove(receiver.name());
        reportChanges(consumers.remove(receiver.name(), nowMs()));
        // These were not sent and can go to other endpoints.
        List.copyOf(consumer.waiting).forEach(call -> call.end(AttemptOutcome.NOT_SENT));
        scheduleExpiry();
    }

    private void reportChanges(List<ConsumerRegistry.EndpointUpdate> changed) {
        endpointListener.endpointsChanged(false, changed.stream().map(entry -> {
            AmqpConfig.Queue queue = queues.get(entry.queue());
            return new Entry(entry.name(), new ConsumerAddress(entry.name()), queue.zone(), queue.kind(), queue.destination(),
                    entry.inService(), 0, entry.removed());
        }).toList());
    }

    private void scheduleExpiry() {
        OptionalDouble next = consumers.nextExpiryMs();
        if (expiryTimer != null) {
            expiryTimer.cancel(false);
        }
        if (next.isPresent()) {
            expiryTimer = loop.schedule(() -> {
                List<ConsumerRegistry.EndpointUpdate> expired = consumers.removeExpired(nowMs());
                if (!expired.isEmpty()) {
                    reportChanges(expired);
                }
                scheduleExpiry();
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
        // No connections to open: consumers connect to the sender.
    }

    @Override
    public void updateEndpoint(long endpoint, SocketAddress address, boolean serving) {
        endpoints.put(endpoint, ((ConsumerAddress) address).name());
    }

    @Override
    public void stop(long endpoint) {
        // A consumer that was removed has no entry any more.
    }

    @Override
    public void forget(long endpoint) {
        endpoints.remove(endpoint);
    }

    @Override
    public void closeIdle(long endpoint) {
        // The consumer owns its connection.
    }

    @Override
    public Attempt attempt(PendingMessage message, int number, long endpoint, AttemptTiming timing, long decidedNanos) {
        double remainingMs = Math.max(0, timing.timeoutMs() - (System.nanoTime() - decidedNanos) / 1e6);
        ConnectedConsumer consumer = connected.get(endpoints.get(endpoint));
        ConsumerAttempt call = new ConsumerAttempt(message, number, consumer, remainingMs, decidedNanos, timing.latestWriteMs());
        call.timer = loop.schedule(call::timedOut, (long) Math.ceil(remainingMs * 1000), TimeUnit.MICROSECONDS);
        if (consumer == null) {
            call.end(AttemptOutcome.NOT_SENT);
        } else if (consumer.waiting.isEmpty() && consumer.receiver.hasCapacity()) {
            call.deliver();
        } else if (consumer.waiting.size() < consumer.receiver.maxInFlight()) {
            consumer.waiting.addLast(call);
        } else {
            call.end(AttemptOutcome.FULL);
        }
        return call;
    }

    @Override
    public void capacityFreed(Receiver receiver) {
        ConnectedConsumer consumer = connected.get(receiver.name());
        while (consumer != null && !consumer.waiting.isEmpty() && receiver.hasCapacity()) {
            consumer.waiting.pollFirst().deliverAfterWait();
        }
    }

    /** An attempt: it may wait for capacity first, then it is delivered to the consumer. */
    private final class ConsumerAttempt implements Attempt {
        private final PendingMessage message;
        private final int number;
        private final ConnectedConsumer consumer;
        private final double timeoutMs;
        private final long decidedNanos;
        private final double latestWriteMs;
        private final long startedNanos = System.nanoTime();
        private Future<?> timer;
        private ChannelFuture written;
        private boolean done;

        private ConsumerAttempt(PendingMessage message, int number, ConnectedConsumer consumer, double timeoutMs,
                long decidedNanos, double latestWriteMs) {
            this.message = message;
            this.number = number;
            this.consumer = consumer;
            this.timeoutMs = timeoutMs;
            this.decidedNanos = decidedNanos;
            this.latestWriteMs = latestWriteMs;
        }

        @Override
        public PendingMessage message() {
            return message;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public boolean hasBegun() {
            return written != null;
        }

        @Override
        public long startedNanos() {
            return startedNanos;
        }

        /** A delivery that was written can't be withdrawn; its consumer may run it. */
        @Override
        public void cancel() {
            end(written == null ? AttemptOutcome.NOT_SENT : AttemptOutcome.CANCELLED);
        }

        private void deliverAfterWait() {
            if (attemptListener.mayBegin(this)) {
                deliver();
            } else {
                end(AttemptOutcome.NOT_SENT);
            }
        }

        /** Delivers, unless the latest write time has passed while the attempt waited; a repeated delivery must not be late. */
        private void deliver() {
            if ((System.nanoTime() - decidedNanos) / 1e6 > latestWriteMs) {
                end(AttemptOutcome.NOT_SENT);
                return;
            }
            Properties properties = Properties.NONE.with(Property.MESSAGE_ID, message.id)
                    .with(Property.CORRELATION_ID, message.key.orElse(null))
                    .with(Property.EXPIRATION, Long.toString(Math.max(1, (long) timeoutMs)))
                    .with(Property.TYPE, message.messageClass);
            written = consumer.receiver.deliver(properties, message.body, number > 0, this::settled);
            written.addListener(f -> {
                if (!f.isSuccess()) {
                    // The connection was closed before the last octet was written.
                    end(AttemptOutcome.UNREACHABLE);
                }
            });
        }

        private void settled(Receiver.Settlement settlement, long waitMs) {
            switch (settlement) {
                case ACKED -> end(AttemptOutcome.DELIVERED);
                case REQUEUED -> end(AttemptOutcome.FULL, waitMs);
                case REJECTED -> end(AttemptOutcome.ERROR);
                // The write's result is known once the connection is closed. Unless it failed, the message may have arrived.
                case LOST -> loop.execute(() -> end(written.isDone() && !written.isSuccess() ? AttemptOutcome.UNREACHABLE
                        : AttemptOutcome.BROKEN));
                default -> throw new IllegalStateException();
            }
        }

        /** A waiting attempt was never sent. A written one may have run, even if it is not flushed yet. */
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
            if (consumer != null && written == null) {
                consumer.waiting.remove(this);
            }
            // Not called directly: an attempt may end while the delivery policy is being called.
            loop.execute(() -> attemptListener.ended(this, outcome, false, waitMs, LimitReport.NOTHING));
        }
    }
}
