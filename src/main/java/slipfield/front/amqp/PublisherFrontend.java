package slipfield.front.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import slipfield.amqp.client.BrokerLinks;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.RedeliveryRule;
import slipfield.amqp.decide.RoutingTable;
import slipfield.amqp.server.AmqpServer;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.PublishHandler;
import slipfield.amqp.ReturnHeaders;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.core.AnswerChannel;
import slipfield.core.Frontend;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;

/**
 * Accepts messages from publishers. A confirm reports the message's final answer, not its acceptance: {@code basic.ack} once
 * it is delivered; otherwise {@code basic.return} with the result, then {@code basic.nack}. A publisher whose channel was closed
 * gets no answer: it is expected to publish again, and a known message id is not accepted a second time.
 */
public final class PublisherFrontend implements Frontend, AnswerChannel, PublishHandler {
    /** The name of this answer channel in an {@link AnswerRecipient}. */
    public static final String NAME = "amqp";

    private final AmqpServer server;
    private final RoutingTable routes;
    private final Consumer<PendingAnswer> acknowledged;
    /** The publications without a final answer, by the publisher's {@link Publisher#peer}. */
    private final Map<String, PendingPublications> pendingByPeer = new HashMap<>();
    private final List<AcceptedPublication> accepted = new ArrayList<>();
    /** Channels with confirms that are not sent yet. */
    private final Set<Publisher> due = new LinkedHashSet<>();
    private MessageIntake intake;
    private SubmissionReader reader;
    private BrokerLinks brokers;
    private volatile List<InetSocketAddress> addresses = List.of();
    private boolean closing;
    private long generatedIds;

    private record AcceptedPublication(PendingMessage message, Publisher publisher, Publication publication) {
    }

    private record PendingPublications(Publisher publisher, Map<String, List<Publication>> byId) {
    }

    /** {@code acknowledged} is called with each answer that was passed on or that no publisher waits for. */
    public PublisherFrontend(AmqpServer server, RoutingTable routes, Consumer<PendingAnswer> acknowledged) {
        this.server = server;
        this.routes = routes;
        this.acknowledged = acknowledged;
    }

    /** Sets where messages are submitted, and the broker links, which are opened and closed with the listener. */
    public void setIntake(MessageIntake intake, BrokerLinks brokers) {
        this.intake = intake;
        this.brokers = brokers;
        reader = new SubmissionReader(intake);
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        addresses = server.listen();
        brokers.dial();
        addresses.stream().skip(1).forEach(more -> Log.info("amqp.listening", "address", Config.hostPort(more)));
        return addresses.get(0);
    }

    @Override
    public void kill() {
        server.kill();
    }

    /** The listening addresses; if there are two, the one without TLS first. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    @Override
    public void close() {
        closing = true;
        server.close();
        brokers.close();
    }

    @Override
    public int openConnections() {
        return server.connectionCount();
    }

    // ---- publications ----

    @Override
    public void published(Publisher from, Publication p) {
        // First of all: whatever speaks against it now, a message that may have run must not be refused.
        if (answerDuplicate(from, p)) {
            return;
        }
        Optional<RoutingTable.Target> target = routes.resolve(p.exchange(), p.routingKey());
        if (closing && !keepsRefused(p)) {
            refuse(from, p, ReplyCode.CONNECTION_FORCED, "the sender ends; publish again, there or elsewhere", 0);
        } else if (target.isEmpty()) {
            refuse(from, p, ReplyCode.NO_ROUTE, "no route of '" + p.exchange() + "' fits '" + p.routingKey() + "'", 0);
        } else {
            try {
                submit(from, p, reader.read(p, target.get(), from.peer() + "-" + ++generatedIds, recipient(from)));
            } catch (BadInput bad) {
                refuse(from, p, ReplyCode.PRECONDITION_FAILED, bad.getMessage(), 0);
            }
        }
    }

    private static AnswerRecipient recipient(Publisher from) {
        return new AnswerRecipient(NAME, from.peer(), true, false);
    }

    /** Answers a publication whose message-id is known, or lets it wait for the final answer; false if the id is not known. */
    private boolean answerDuplicate(Publisher from, Publication p) {
        String id = SubmissionReader.messageId(p);
        if (id.isBlank()) {
            return false;
        }
        if (accepted.stream().anyMatch(t -> t.message.id.equals(id))) {
            // The duplicate check below must not report an id as pending before it is in the journal.
            batchEnded();
        }
        Optional<MessageIntake.DuplicateState> before = intake.checkDuplicate(id, recipient(from));
        if (before.isEmpty()) {
            return false;
        }
        switch (before.get()) {
            case PENDING -> await(from, p, id);
            case DELIVERED -> confirm(from, p, true);
            case UNDELIVERED -> fail(from, p, "this message-id was refused or failed a moment ago");
            default -> throw new IllegalStateException();
        }
        return true;
    }

    private void submit(Publisher from, Publication p, MessageIntake.Submission submission) {
        String id = submission.id();
        if (RedeliveryRule.mayHaveRun(p.origin(), intake.safeToRepeat(submission.messageClass()))) {
            Log.warn("amqp.redelivery_failed", "message", id, "class", submission.messageClass());
            fail(from, p, "delivered before, and it may have run then");
            return;
        }
        if (!intake.knowsDestination(submission.destination())) {
            refuseForNow(from, p, ReplyCode.NO_CONSUMERS, "nothing serves destination " + submission.destination() + " yet", 0);
            return;
        }
        MessageIntake.SubmissionResult result = intake.submit(submission);
        if (result.message().isPresent()) {
            accepted.add(new AcceptedPublication(result.message().get(), from, p));
            await(from, p, id);
        } else {
            refuseForNow(from, p, ReplyCode.RESOURCE_ERROR, result.reason(), result.waitMs());
        }
    }

    private void await(Publisher from, Publication p, String id) {
        pendingByPeer.computeIfAbsent(from.peer(), peer -> new PendingPublications(from, new HashMap<>())).byId
                .computeIfAbsent(id, i -> new ArrayList<>(1)).add(p);
    }

    /** Writes all accepted messages to the journal in one write. Refuses those that were not written. */
    @Override
    public void batchEnded() {
        if (!accepted.isEmpty()) {
            boolean allWritten = intake.writeAccepted();
            List<AcceptedPublication> batch = List.copyOf(accepted);
            accepted.clear();
            for (AcceptedPublication t : batch) {
                boolean recorded = allWritten || intake.isRecorded(t.message);
                intake.acceptanceReported(t.message, recorded);
                if (!recorded) {
                    takePublications(t.publisher, t.message.id)
                            .forEach(p -> refuseForNow(t.publisher, p, ReplyCode.RESOURCE_ERROR, "no room", 0));
                }
            }
        }
        flush();
    }

    private List<Publication> takePublications(Publisher publisher, String id) {
        PendingPublications pending = pendingByPeer.get(publisher.peer());
        List<Publication> publications = pending == null ? null : pending.byId.remove(id);
        return publications == null ? List.of() : publications;
    }

    @Override
    public void publisherClosed(Publisher publisher) {
        due.remove(publisher);
        PendingPublications pending = pendingByPeer.remove(publisher.peer());
        if (pending != null && !pending.byId.isEmpty()) {
            if (!accepted.isEmpty()) {
                batchEnded();
            }
            intake.recipientGone(NAME, publisher.peer());
        }
    }

    // ---- final answers ----

    @Override
    public void enqueue(PendingAnswer answer) {
        PendingPublications pending = pendingByPeer.get(answer.recipient().peer());
        if (pending != null) {
            PendingMessage.Notice notice = answer.message().pendingNotice.orElseThrow();
            for (Publication p : takePublications(pending.publisher, answer.message().id)) {
                switch (notice.answer()) {
                    case DELIVERED -> confirm(pending.publisher, p, true);
                    case REFUSED -> refuseForNow(pending.publisher, p, ReplyCode.RESOURCE_ERROR,
                            "could not be delivered, and did not run", Math.round(notice.waitMs()));
                    case FAILED -> fail(pending.publisher, p, "given up; it may have run");
                    default -> throw new IllegalStateException();
                }
            }
        }
        // Also if no publisher waits, after a restart or since the channel was closed: nobody else acknowledges this answer.
        acknowledged.accept(answer);
    }

    /** Refuses a publication that may be accepted later, or keeps it until then if nobody else could accept it. */
    private void refuseForNow(Publisher to, Publication p, ReplyCode code, String text, long waitMs) {
        if (!keepsRefused(p) || !to.submitLater(p, waitMs)) {
            refuse(to, p, code, text, waitMs);
        }
    }

    private boolean keepsRefused(Publication p) {
        Optional<RoutingTable.Target> target = routes.resolve(p.exchange(), p.routingKey());
        return target.isPresent() && RedeliveryRule.keepsRefused(p.origin(), intake.safeToRepeat(target.get().messageClass()));
    }

    private void refuse(Publisher to, Publication p, ReplyCode code, String text, long waitMs) {
        to.returnMessage(p, code, text, ReturnHeaders.refused(waitMs));
        confirm(to, p, false);
    }

    private void fail(Publisher to, Publication p, String text) {
        to.returnMessage(p, ReplyCode.INTERNAL_ERROR, text, ReturnHeaders.failed());
        confirm(to, p, false);
    }

    private void confirm(Publisher to, Publication p, boolean ack) {
        to.confirm(p, ack);
        due.add(to);
    }

    @Override
    public void flush() {
        if (!due.isEmpty()) {
            List<Publisher> now = List.copyOf(due);
            due.clear();
            now.forEach(Publisher::flush);
        }
    }

    /** Always 0: each answer is acknowledged at once, and the core itself counts the messages without one. */
    @Override
    public int pendingCount() {
        return 0;
    }
}
