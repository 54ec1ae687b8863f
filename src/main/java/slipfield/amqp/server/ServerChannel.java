package slipfield.amqp.server;

import io.netty.channel.ChannelFuture;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.ContentReader;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.Receiver;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.PublisherConfirms;
import slipfield.amqp.decide.RedeliveryRule;
import slipfield.amqp.decide.UnackedDeliveries;

/** A channel with its publications, their confirms, and the deliveries to its consumers. */
final class ServerChannel implements Publisher {
    private final ServerConnection connection;
    private final int number;
    private final UnackedDeliveries<Receiver.SettlementListener> deliveries;
    private final Map<String, Subscription> subscriptions = new HashMap<>();
    private final PublisherConfirms confirms = new PublisherConfirms();
    private final ContentReader contents;
    private final AmqpConfig config;
    /** Publications without a final answer, also those outside confirm mode. */
    private final Set<Publication> open = Collections.newSetFromMap(new IdentityHashMap<>());
    private Method publish;
    /** The size of the body that is being received; 0 if there is none. */
    private long partialOctets;
    private boolean confirming;
    private boolean closing;
    private int generatedTags;

    ServerChannel(ServerConnection connection, int number) {
        this.connection = connection;
        this.number = number;
        this.config = connection.server().config();
        this.deliveries = new UnackedDeliveries<>(config.limits().prefetch());
        this.contents = new ContentReader(config.limits().bodyOctets());
    }

    int number() {
        return number;
    }

    AmqpConfig.User user() {
        return connection.user();
    }

    UnackedDeliveries<Receiver.SettlementListener> deliveries() {
        return deliveries;
    }

    boolean writable() {
        return connection.writable() && !closing;
    }

    double nowMs() {
        return connection.server().nowMs();
    }

    ChannelFuture send(Frame frame) {
        return connection.write(frame);
    }

    private void answer(MethodId id, Object... arguments) {
        connection.send(number, id, arguments);
    }

    // ---- incoming frames ----

    void handle(Frame frame) throws AmqpError {
        if (closing) {
            // Frames that were sent before the peer received the close are discarded: specification, channel.close.
            handleWhileClosing(frame);
        } else if (frame instanceof Frame.OfMethod m) {
            contents.method(m.method());
            handleMethod(m.method());
        } else if (frame instanceof Frame.OfHeader h) {
            boolean complete = contents.header(h);
            long octets = h.bodySize() + h.properties().octets();
            if (!connection.server().backpressure().tryStartBody(connection.id(), octets)) {
                throw new AmqpError(ReplyCode.RESOURCE_ERROR, "too many bodies are begun at once; send each whole",
                        MethodId.BASIC_PUBLISH);
            }
            partialOctets = octets;
            contentRead(complete);
        } else if (frame instanceof Frame.OfBody b) {
            contentRead(contents.body(b));
        }
    }

    private void handleWhileClosing(Frame frame) {
        if (frame instanceof Frame.OfBody b) {
            ReferenceCountUtil.release(b.octets());
        } else if (frame instanceof Frame.OfMethod m && m.method().id() == MethodId.CHANNEL_CLOSE_OK) {
            connection.removeChannel(number);
        } else if (frame instanceof Frame.OfMethod m && m.method().id() == MethodId.CHANNEL_CLOSE) {
            answer(MethodId.CHANNEL_CLOSE_OK);
        }
    }

    private void contentRead(boolean complete) {
        if (!complete) {
            return;
        }
        bodyDone();
        Publication publication = new Publication(confirming ? confirms.assignTag() : 0, user(),
                publish.text("exchange"), publish.text("routing-key"), contents.properties(), contents.takeBody(),
                RedeliveryRule.Origin.PUBLISHED);
        open.add(publication);
        addLoad(1, publication);
        connection.server().publishHandler().published(this, publication);
    }

    private void bodyDone() {
        connection.server().backpressure().bodyDone(connection.id(), partialOctets);
        partialOctets = 0;
    }

    private void addLoad(int sign, Publication publication) {
        connection.server().backpressure().addLoad(connection.id(), sign, sign * publication.octets());
        connection.updateReading();
        if (sign < 0) {
            connection.server().resumePaused();
        }
    }

    private void handleMethod(Method method) throws AmqpError {
        MethodId id = method.id();
        switch (id) {
            case CHANNEL_CLOSE -> {
                release();
                answer(MethodId.CHANNEL_CLOSE_OK);
                connection.removeChannel(number);
            }
            case CHANNEL_FLOW -> {
                deliveries.flow(method.flag("active"));
                answer(MethodId.CHANNEL_FLOW_OK, method.flag("active"));
                reportCapacity();
            }
            case CHANNEL_FLOW_OK, CHANNEL_CLOSE_OK -> { }
            case EXCHANGE_DECLARE -> declareExchange(method);
            case QUEUE_DECLARE -> declareQueue(method);
            case QUEUE_BIND -> bindQueue(method);
            case EXCHANGE_DELETE, EXCHANGE_BIND, EXCHANGE_UNBIND, QUEUE_DELETE, QUEUE_UNBIND, QUEUE_PURGE ->
                throw new AmqpError(ReplyCode.ACCESS_REFUSED, id + ": exchanges, queues and bindings are in the operator's "
                        + "file alone; change them there", id);
            case BASIC_QOS -> {
                if (method.number("prefetch-size") != 0) {
                    throw new AmqpError(ReplyCode.NOT_IMPLEMENTED, "prefetch by octets; set prefetch-count alone", id);
                }
                deliveries.qos((int) method.number("prefetch-count"), method.flag("global"));
                answer(MethodId.BASIC_QOS_OK);
                reportCapacity();
            }
            case BASIC_CONSUME -> consume(method);
            case BASIC_CANCEL -> {
                cancel(method.text("consumer-tag"));
                if (!method.flag("no-wait")) {
                    answer(MethodId.BASIC_CANCEL_OK, method.text("consumer-tag"));
                }
            }
            case BASIC_PUBLISH -> startPublish(method);
            case BASIC_GET -> {
                // Queues store nothing; pending messages are delivered to consumers. So there is never a message to get.
                consumableQueue(method.text("queue"), id);
                answer(MethodId.BASIC_GET_EMPTY, "");
            }
            case BASIC_ACK -> settle(method, method.flag("multiple"), Receiver.Settlement.ACKED);
            case BASIC_NACK -> settle(method, method.flag("multiple"), negativeSettlement(method));
            case BASIC_REJECT -> settle(method, false, negativeSettlement(method));
            case BASIC_RECOVER, BASIC_RECOVER_ASYNC -> throw new AmqpError(ReplyCode.NOT_IMPLEMENTED,
                    id + ": which attempt comes next is decided here; nack what is to go elsewhere", id);
            case CONFIRM_SELECT -> {
                if (!confirming && !open.isEmpty()) {
                    throw new AmqpError(ReplyCode.PRECONDITION_FAILED, "messages are out unconfirmed; select confirms first",
                            id);
                }
                confirming = true;
                if (!method.flag("no-wait")) {
                    answer(MethodId.CONFIRM_SELECT_OK);
                }
            }
            case TX_SELECT, TX_COMMIT, TX_ROLLBACK -> throw new AmqpError(ReplyCode.NOT_IMPLEMENTED,
                    id + ": an order has one final answer by itself; use confirm.select", id);
            default -> throw new AmqpError(ReplyCode.COMMAND_INVALID, id + " is not for a server, or not for a channel", id);
        }
    }

    private static Receiver.Settlement negativeSettlement(Method method) {
        return method.flag("requeue") ? Receiver.Settlement.REQUEUED : Receiver.Settlement.REJECTED;
    }

    private void declareExchange(Method m) throws AmqpError {
        String exchange = m.text("exchange");
        if (!config.routes().hasExchange(exchange)) {
            throw new AmqpError(ReplyCode.NOT_FOUND, "no exchange '" + exchange + "' in the operator's file", m.id());
        }
        if (!m.flag("passive") && !m.text("type").equals("topic")) {
            throw new AmqpError(ReplyCode.PRECONDITION_FAILED, "exchange '" + exchange + "' is of type topic", m.id());
        }
        if (!m.flag("no-wait")) {
            answer(MethodId.EXCHANGE_DECLARE_OK);
        }
    }

    private void declareQueue(Method m) throws AmqpError {
        AmqpConfig.Queue queue = consumableQueue(m.text("queue"), m.id());
        if (!m.flag("passive") && m.flag("exclusive")) {
            throw new AmqpError(ReplyCode.RESOURCE_LOCKED, "queue '" + queue.name() + "' is shared", m.id());
        }
        if (!m.flag("no-wait")) {
            answer(MethodId.QUEUE_DECLARE_OK, queue.name(), 0L,
                    (long) connection.server().consumerHandler().consumerCount(queue.name()));
        }
    }

    private void bindQueue(Method m) throws AmqpError {
        consumableQueue(m.text("queue"), m.id());
        if (!config.routes().hasBinding(m.text("exchange"), m.text("routing-key"))) {
            throw new AmqpError(ReplyCode.ACCESS_REFUSED, "no such binding in the operator's file; add it there", m.id());
        }
        if (!m.flag("no-wait")) {
            answer(MethodId.QUEUE_BIND_OK);
        }
    }

    private AmqpConfig.Queue consumableQueue(String name, MethodId id) throws AmqpError {
        AmqpConfig.Queue queue = config.queues().get(name);
        if (queue == null) {
            throw new AmqpError(ReplyCode.NOT_FOUND, "no queue '" + name + "' in the operator's file", id);
        }
        if (!user().consume().contains(name)) {
            throw new AmqpError(ReplyCode.ACCESS_REFUSED, "user '" + user().name() + "' may not consume '" + name
                    + "'; the operator's file lists who may (consume)", id);
        }
        return queue;
    }

    private void startPublish(Method m) throws AmqpError {
        String exchange = m.text("exchange");
        if (!confirming && !config.unconfirmed()) {
            throw new AmqpError(ReplyCode.PRECONDITION_FAILED, "a final answer is owed for each message; send "
                    + "confirm.select first", m.id());
        }
        if (!config.routes().hasExchange(exchange)) {
            throw new AmqpError(ReplyCode.NOT_FOUND, "no exchange '" + exchange + "' in the operator's file", m.id());
        }
        if (!user().publish().contains(exchange)) {
            throw new AmqpError(ReplyCode.ACCESS_REFUSED, "user '" + user().name() + "' may not publish to '" + exchange
                    + "'; the operator's file lists who may (publish)", m.id());
        }
        publish = m;
    }

    // ---- consumers ----

    private void consume(Method m) throws AmqpError {
        AmqpConfig.Queue queue = consumableQueue(m.text("queue"), m.id());
        if (m.flag("no-ack")) {
            throw new AmqpError(ReplyCode.PRECONDITION_FAILED, "without acks no message would have an end; consume with "
                    + "no-ack off", m.id());
        }
        String tag = m.text("consumer-tag").isEmpty() ? connection.server().epoch() + "-" + connection.id() + "." + number
                + "." + ++generatedTags : m.text("consumer-tag");
        if (subscriptions.containsKey(tag)) {
            throw new AmqpError(ReplyCode.NOT_ALLOWED, "consumer tag '" + tag + "' is in use on this channel", m.id());
        }
        Subscription subscription = new Subscription(this, queue, tag, m.table("arguments"));
        if (!connection.server().consumerHandler().canAdd(subscription, m.flag("exclusive"))) {
            throw new AmqpError(ReplyCode.ACCESS_REFUSED, "queue '" + queue.name() + "' has an exclusive consumer, or one "
                    + "of this name; use another consumer tag", m.id());
        }
        deliveries.addConsumer(tag);
        subscriptions.put(tag, subscription);
        if (!m.flag("no-wait")) {
            answer(MethodId.BASIC_CONSUME_OK, tag);
        }
        connection.server().consumerHandler().consumerAdded(subscription, m.flag("exclusive"));
    }

    private void cancel(String tag) {
        Subscription removed = subscriptions.remove(tag);
        if (removed != null) {
            deliveries.removeConsumer(tag);
            connection.server().consumerHandler().consumerRemoved(removed);
        }
    }

    private void settle(Method m, boolean multiple, Receiver.Settlement settlement) throws AmqpError {
        Optional<List<UnackedDeliveries.Delivery<Receiver.SettlementListener>>> settled =
                deliveries.settle(m.number("delivery-tag"), multiple);
        if (settled.isEmpty()) {
            throw new AmqpError(ReplyCode.PRECONDITION_FAILED, "no delivery " + m.number("delivery-tag")
                    + " is out on this channel; settle each once", m.id());
        }
        settled.get().forEach(one -> one.payload().settled(settlement, 0));
        reportCapacity();
    }

    /** Reports that its consumers may have capacity again. */
    void reportCapacity() {
        subscriptions.values().forEach(connection.server().consumerHandler()::capacityFreed);
    }

    // ---- publishers ----

    @Override
    public String peer() {
        return connection.server().epoch() + "-" + connection.id() + "." + number;
    }

    @Override
    public void returnMessage(Publication p, ReplyCode code, String text, Map<String, Object> headers) {
        Map<String, Object> all = new HashMap<>(p.properties().headers());
        all.putAll(headers);
        send(new Frame.Content(number, Method.of(MethodId.BASIC_RETURN, code.number(), text, p.exchange(), p.routingKey()),
                p.properties().with(Properties.Property.HEADERS, all), p.body()));
    }

    @Override
    public void confirm(Publication publication, boolean ack) {
        if (open.remove(publication)) {
            if (publication.tag() > 0) {
                confirms.settle(publication.tag(), ack);
            }
            addLoad(-1, publication);
        }
    }

    @Override
    public void flush() {
        for (PublisherConfirms.Confirm due : confirms.takeDue()) {
            if (due.ack()) {
                answer(MethodId.BASIC_ACK, due.tag(), due.multiple());
            } else {
                answer(MethodId.BASIC_NACK, due.tag(), due.multiple(), false);
            }
        }
    }

    /** The number of publications without a final answer. */
    int unconfirmedCount() {
        return open.size();
    }

    // ---- timeouts and closing ----

    void sweep(double now) {
        Optional<Double> oldest = deliveries.oldestSentMs();
        if (!closing && oldest.isPresent() && now - oldest.get() > config.limits().ackMs()) {
            fail(new AmqpError(ReplyCode.PRECONDITION_FAILED, "a delivery is out for over " + config.limits().ackMs()
                    + " ms; settle each in time, or ask the operator for more (ack_within)"));
        }
    }

    void fail(AmqpError e) {
        if (closing) {
            return;
        }
        release();
        answer(MethodId.CHANNEL_CLOSE, e.code().number(), e.getMessage(), e.classId(), e.methodId());
    }

    /** Releases everything of this channel, which is closed or about to be: nothing more of it is settled. */
    void release() {
        if (closing) {
            return;
        }
        closing = true;
        bodyDone();
        List.copyOf(subscriptions.keySet()).forEach(this::cancel);
        // After the consumers are removed: attempts that follow from these losses must not go to one of them.
        new ArrayList<>(deliveries.settle(0, true).orElseThrow())
                .forEach(one -> one.payload().settled(Receiver.Settlement.LOST, 0));
        for (Publication publication : open) {
            connection.server().backpressure().addLoad(connection.id(), -1, -publication.octets());
        }
        open.clear();
        connection.server().publishHandler().publisherClosed(this);
        connection.server().resumePaused();
    }
}
