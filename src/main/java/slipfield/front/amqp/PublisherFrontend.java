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
 * The way in for publishers. A confirm is the message's final answer, never its taking: {@code basic.ack} once it is
 * delivered; else {@code basic.return} with what became of it, then {@code basic.nack}. A publisher that is gone is owed
 * nothing: it will publish again, and an id that is known then is not taken twice.
 */
public final class PublisherFrontend implements Frontend, AnswerChannel, PublishHandler {
    /** The outcome's name in claims. */
    public static final String NAME = "amqp";

    private final AmqpServer server;
    private final RoutingTable routes;
    private final Consumer<PendingAnswer> heard;
    /** Who waits for which message's end. */
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final List<Taken> taken = new ArrayList<>();
    /** Channels with confirms that were not sent yet. */
    private final Set<Publisher> due = new LinkedHashSet<>();
    private MessageIntake desk;
    private SubmissionReader reading;
    private BrokerLinks brokers;
    private volatile List<InetSocketAddress> addresses = List.of();
    private boolean closing;
    private long unnamed;

    private record Taken(PendingMessage held, Publisher from, Publication publication) {
    }

    private record Waiting(Publisher publisher, Map<String, List<Publication>> byId) {
    }

    /** {@code heard} is told of each answer that was passed on, or that nobody waits for. */
    public PublisherFrontend(AmqpServer server, RoutingTable routes, Consumer<PendingAnswer> heard) {
        this.server = server;
        this.routes = routes;
        this.heard = heard;
    }

    /** Hands in at this desk, also what these brokers deliver. */
    public void setIntake(MessageIntake at, BrokerLinks from) {
        desk = at;
        brokers = from;
        reading = new SubmissionReader(at);
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

    /** Where it listens: without TLS first, where it does both. */
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

    // ---- what is published ----

    @Override
    public void published(Publisher from, Publication p) {
        Optional<RoutingTable.Target> target = routes.resolve(p.exchange(), p.routingKey());
        if (closing) {
            refused(from, p, ReplyCode.CONNECTION_FORCED, "the sender ends; publish again, there or elsewhere", 0);
        } else if (target.isEmpty()) {
            refused(from, p, ReplyCode.NO_ROUTE, "no route of '" + p.exchange() + "' fits '" + p.routingKey() + "'", 0);
        } else {
            try {
                handIn(from, p, reading.read(p, target.get(), from.peer() + "-" + ++unnamed,
                        new AnswerRecipient(NAME, from.peer(), true, false)));
            } catch (BadInput bad) {
                refused(from, p, ReplyCode.PRECONDITION_FAILED, bad.getMessage(), 0);
            }
        }
    }

    private void handIn(Publisher from, Publication p, MessageIntake.Submission submission) {
        String id = submission.id();
        if (taken.stream().anyMatch(t -> t.held.id.equals(id))) {
            // What is said of an id must be true of the journal.
            batchEnded();
        }
        Optional<MessageIntake.DuplicateState> before = desk.checkDuplicate(id, submission.recipients().get(0));
        if (before.isPresent()) {
            switch (before.get()) {
                case PENDING -> await(from, p, id);
                case DELIVERED -> end(from, p, true);
                case UNDELIVERED -> failed(from, p, "this message-id was refused or failed a moment ago");
                default -> throw new IllegalStateException();
            }
            return;
        }
        if (!desk.knowsDestination(submission.destination())) {
            refused(from, p, ReplyCode.NO_CONSUMERS, "nothing serves destination " + submission.destination() + " yet", 0);
            return;
        }
        MessageIntake.SubmissionResult taking = desk.submit(submission);
        if (taking.message().isPresent()) {
            taken.add(new Taken(taking.message().get(), from, p));
            await(from, p, id);
        } else {
            refused(from, p, ReplyCode.RESOURCE_ERROR, taking.reason(), taking.waitMs());
        }
    }

    private void await(Publisher from, Publication p, String id) {
        waiting.computeIfAbsent(from.peer(), peer -> new Waiting(from, new HashMap<>())).byId
                .computeIfAbsent(id, i -> new ArrayList<>(1)).add(p);
    }

    /** All that was taken goes into the journal in one write, and on to the module; its end is what is told. */
    @Override
    public void batchEnded() {
        if (!taken.isEmpty()) {
            boolean written = desk.writeAccepted();
            List<Taken> told = List.copyOf(taken);
            taken.clear();
            for (Taken t : told) {
                boolean recorded = written || desk.isRecorded(t.held);
                desk.acceptanceReported(t.held, recorded);
                if (!recorded) {
                    publications(t.from, t.held.id).forEach(p -> refused(t.from, p, ReplyCode.RESOURCE_ERROR, "no room", 0));
                }
            }
        }
        flush();
    }

    private List<Publication> publications(Publisher of, String id) {
        Waiting waits = waiting.get(of.peer());
        List<Publication> publications = waits == null ? null : waits.byId.remove(id);
        return publications == null ? List.of() : publications;
    }

    @Override
    public void publisherClosed(Publisher publisher) {
        due.remove(publisher);
        Waiting waits = waiting.remove(publisher.peer());
        if (waits != null && !waits.byId.isEmpty()) {
            if (!taken.isEmpty()) {
                batchEnded();
            }
            desk.recipientGone(NAME, publisher.peer());
        }
    }

    // ---- ends ----

    @Override
    public void enqueue(PendingAnswer answer) {
        Waiting waits = waiting.get(answer.recipient().peer());
        if (waits != null) {
            PendingMessage.Notice notice = answer.message().pendingNotice.orElseThrow();
            for (Publication p : publications(waits.publisher, answer.message().id)) {
                switch (notice.answer()) {
                    case DELIVERED -> end(waits.publisher, p, true);
                    case REFUSED -> refused(waits.publisher, p, ReplyCode.RESOURCE_ERROR,
                            "could not be delivered, and did not run", Math.round(notice.waitMs()));
                    case FAILED -> failed(waits.publisher, p, "given up; it may have run");
                    default -> throw new IllegalStateException();
                }
            }
        }
        // One of an earlier life, or of a channel that is gone: nobody waits for it.
        heard.accept(answer);
    }

    private void refused(Publisher to, Publication p, ReplyCode code, String text, long waitMs) {
        to.returnMessage(p, code, text, ReturnHeaders.refused(waitMs));
        end(to, p, false);
    }

    private void failed(Publisher to, Publication p, String text) {
        to.returnMessage(p, ReplyCode.INTERNAL_ERROR, text, ReturnHeaders.failed());
        end(to, p, false);
    }

    private void end(Publisher to, Publication p, boolean ack) {
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

    /** What is not confirmed yet is not over yet: the core counts that itself. */
    @Override
    public int pendingCount() {
        return 0;
    }
}
