package slipfield.front.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Publication;
import slipfield.amqp.Publisher;
import slipfield.amqp.ReturnHeaders;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.RedeliveryRule;
import slipfield.amqp.decide.RoutingTable;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;

/** The confirms and returns that publishers get for the replies of a fake {@link MessageIntake}; without connections. */
class PublisherFrontendTest {
    private final List<String> sent = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private final List<PendingAnswer> acknowledged = new ArrayList<>();
    private final Map<String, MessageIntake.DuplicateState> known = new HashMap<>();
    private final List<PendingMessage> accepted = new ArrayList<>();
    private final List<String> acceptances = new ArrayList<>();
    private boolean writeSucceeds = true;
    private long waitMs = -1;
    private boolean safeToRepeat;
    private final PublisherFrontend front = new PublisherFrontend(null, new RoutingTable().addExchange("x",
            List.of(new RoutingTable.Route("#", "c", 7, 0))), acknowledged::add);

    private final class FakeChannel implements Publisher {
        private final String peer;
        private boolean keepsRefused;

        FakeChannel(String peer) {
            this.peer = peer;
        }

        @Override
        public String peer() {
            return peer;
        }

        @Override
        public void returnMessage(Publication p, ReplyCode code, String text, Map<String, Object> headers) {
            sent.add(peer + p.tag() + " " + code.number() + " " + headers.get(ReturnHeaders.END)
                    + (headers.containsKey(ReturnHeaders.RETRY_AFTER) ? " " + headers.get(ReturnHeaders.RETRY_AFTER) : ""));
        }

        @Override
        public boolean submitLater(Publication p, long delayMs) {
            if (keepsRefused) {
                sent.add(peer + p.tag() + " later " + delayMs);
            }
            return keepsRefused;
        }

        @Override
        public void confirm(Publication p, boolean ack) {
            sent.add(peer + p.tag() + (ack ? " ack" : " nack"));
        }

        @Override
        public void flush() {
            sent.add(peer + " flush");
        }
    }

    private final class FakeIntake implements MessageIntake {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return true;
        }

        @Override
        public boolean knowsTenant(String name) {
            return true;
        }

        @Override
        public boolean needsKey(String messageClass) {
            return false;
        }

        @Override
        public boolean safeToRepeat(String messageClass) {
            return safeToRepeat;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient recipient) {
            return Optional.ofNullable(known.get(id));
        }

        @Override
        public void recipientGone(String channel, String peer) {
            gone.add(peer);
        }

        @Override
        public SubmissionResult submit(Submission s) {
            if (waitMs >= 0) {
                return SubmissionResult.refused("no room", waitMs);
            }
            PendingMessage message = new PendingMessage(accepted.size(), s.id(), s.messageClass(), s.tenant(), s.key(),
                    s.destination(), 0, s.body(), s.recipients().get(0));
            accepted.add(message);
            known.put(s.id(), DuplicateState.PENDING);
            return SubmissionResult.accepted(message);
        }

        @Override
        public boolean writeAccepted() {
            return writeSucceeds;
        }

        @Override
        public void acceptanceReported(PendingMessage message, boolean received) {
            acceptances.add(message.id + " " + received);
        }
    }

    PublisherFrontendTest() {
        front.setIntake(new FakeIntake(), null);
    }

    private void publish(FakeChannel from, long tag, String id) {
        publish(from, tag, id, RedeliveryRule.Origin.PUBLISHED);
    }

    private void publish(FakeChannel from, long tag, String id, RedeliveryRule.Origin origin) {
        front.published(from, new Publication(tag, new AmqpConfig.User("u", Optional.empty(), "", Set.of(), Set.of()), "x", "k",
                Properties.NONE.with(Properties.Property.MESSAGE_ID, id), new byte[0], origin));
    }

    private void answer(int number, PendingMessage.FinalAnswer answer, double waitMs) {
        PendingMessage message = accepted.get(number);
        message.pendingNotice = Optional.of(new PendingMessage.Notice(answer, waitMs));
        front.enqueue(new PendingAnswer(message, message.recipients.get(0)));
        front.flush();
    }

    private List<String> takeSent() {
        List<String> all = List.copyOf(sent);
        sent.clear();
        return all;
    }

    @Test
    void confirmsReportTheFinalAnswerAndNothingBefore() {
        FakeChannel a = new FakeChannel("a");
        publish(a, 1, "m1");
        publish(a, 2, "m2");
        publish(a, 3, "m3");
        front.batchEnded();
        assertEquals(List.of(), takeSent());
        assertEquals(List.of("m1 true", "m2 true", "m3 true"), acceptances);
        answer(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        answer(1, PendingMessage.FinalAnswer.REFUSED, 250.4);
        answer(2, PendingMessage.FinalAnswer.FAILED, 0);
        assertEquals(List.of("a1 ack", "a flush", "a2 506 refused 250", "a2 nack", "a flush", "a3 541 failed", "a3 nack",
                "a flush"), takeSent());
        assertEquals(3, acknowledged.size());
    }

    /** A message that was not written to the journal is refused, although the intake had accepted it. */
    @Test
    void aMessageThatIsNotWrittenIsReturned() {
        writeSucceeds = false;
        publish(new FakeChannel("a"), 1, "m1");
        front.batchEnded();
        assertEquals(List.of("m1 false"), acceptances);
        assertEquals(List.of("a1 506 refused", "a1 nack", "a flush"), takeSent());
    }

    @Test
    void aRefusedSubmissionIsReturnedWithItsDelay() {
        waitMs = 1200;
        publish(new FakeChannel("a"), 1, "m1");
        waitMs = 0;
        publish(new FakeChannel("a"), 2, "m2");
        assertEquals(List.of("a1 506 refused 1200", "a1 nack", "a2 506 refused", "a2 nack"), takeSent());
    }

    /** The same id twice in one batch: the first must be in the journal before the second is handled. */
    @Test
    void allPublishersOfAPendingIdGetItsAnswer() {
        FakeChannel a = new FakeChannel("a");
        FakeChannel b = new FakeChannel("b");
        publish(a, 1, "m1");
        publish(a, 2, "m1");
        assertEquals(List.of("m1 true"), acceptances, "the first is written before the second is handled");
        publish(b, 1, "m1");
        front.batchEnded();
        assertEquals(1, accepted.size());
        answer(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        assertEquals(List.of("a1 ack", "a2 ack", "a flush"), takeSent());
        PendingMessage message = accepted.get(0);
        front.enqueue(new PendingAnswer(message, new AnswerRecipient(PublisherFrontend.NAME, "b", true, false)));
        front.flush();
        assertEquals(List.of("b1 ack", "b flush"), takeSent());
        known.put("m1", MessageIntake.DuplicateState.DELIVERED);
        publish(a, 3, "m1");
        known.put("m1", MessageIntake.DuplicateState.UNDELIVERED);
        publish(a, 4, "m1");
        assertEquals(List.of("a3 ack", "a4 541 failed", "a4 nack"), takeSent());
    }

    /** Guards against a refusal, which promises that nothing ran, for a message that has run or may run (review, case 6). */
    @Test
    void aKnownMessageIsNotRefusedForItsRouteOrItsProperties() {
        FakeChannel a = new FakeChannel("a");
        known.put("m1", MessageIntake.DuplicateState.DELIVERED);
        known.put("m2", MessageIntake.DuplicateState.PENDING);
        known.put("m3", MessageIntake.DuplicateState.UNDELIVERED);
        for (int i = 1; i <= 3; i++) {
            Properties properties = Properties.NONE.with(Properties.Property.MESSAGE_ID, "m" + i);
            publish(a, 2 * i, "nowhere", properties);
            publish(a, 2 * i + 1, "x", properties.with(Properties.Property.EXPIRATION, "soon"));
        }
        assertEquals(List.of("a2 ack", "a3 ack", "a6 541 failed", "a6 nack", "a7 541 failed", "a7 nack"), takeSent());
        publish(a, 8, "nowhere", Properties.NONE);
        assertEquals(List.of("a8 312 refused", "a8 nack"), takeSent(), "of a message without an id nothing is known");
    }

    private void publish(FakeChannel from, long tag, String exchange, Properties properties) {
        front.published(from, new Publication(tag, new AmqpConfig.User("u", Optional.empty(), "", Set.of(), Set.of()), exchange, "k",
                properties, new byte[0], RedeliveryRule.Origin.PUBLISHED));
    }

    /** Found by a review: it may have run at the sender to which the broker gave it first. */
    @Test
    void aRedeliveredMessageOfAnUnknownIdRunsOnlyIfItIsSafeToRepeat() {
        FakeChannel a = new FakeChannel("a");
        publish(a, 1, "m1", RedeliveryRule.Origin.REDELIVERED);
        assertEquals(List.of("a1 541 failed", "a1 nack"), takeSent());
        assertEquals(List.of(), accepted);
        safeToRepeat = true;
        publish(a, 2, "m2", RedeliveryRule.Origin.REDELIVERED);
        assertEquals(1, accepted.size());
    }

    /** Guards against a broken link that costs a sender the true end of its own orders. */
    @Test
    void aRedeliveredMessageOfAKnownIdGetsItsAnswer() {
        FakeChannel a = new FakeChannel("a");
        publish(a, 1, "m1", RedeliveryRule.Origin.DELIVERED);
        front.publisherClosed(a);
        FakeChannel b = new FakeChannel("b");
        publish(b, 1, "m1", RedeliveryRule.Origin.REDELIVERED);
        known.put("m2", MessageIntake.DuplicateState.DELIVERED);
        publish(b, 2, "m2", RedeliveryRule.Origin.REDELIVERED);
        assertEquals(1, accepted.size());
        assertEquals(List.of("b2 ack"), takeSent());
        front.enqueue(new PendingAnswer(deliveredFirst(), new AnswerRecipient(PublisherFrontend.NAME, "b", true, false)));
        front.flush();
        assertEquals(List.of("b1 ack", "b flush"), takeSent());
    }

    private PendingMessage deliveredFirst() {
        PendingMessage first = accepted.get(0);
        first.pendingNotice = Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
        return first;
    }

    /** If it were requeued, any consumer would have to fail it as a message that may have run. */
    @Test
    void aDeliveryThatIsRefusedForNowIsKeptUnlessItIsSafeToRepeat() {
        FakeChannel a = new FakeChannel("a");
        a.keepsRefused = true;
        waitMs = 1200;
        publish(a, 1, "m1", RedeliveryRule.Origin.DELIVERED);
        publish(a, 2, "m2", RedeliveryRule.Origin.PUBLISHED);
        safeToRepeat = true;
        publish(a, 3, "m3", RedeliveryRule.Origin.DELIVERED);
        assertEquals(List.of("a1 later 1200", "a2 506 refused 1200", "a2 nack", "a3 506 refused 1200", "a3 nack"), takeSent());
    }

    @Test
    void aClosedPublisherGetsNoAnswer() {
        FakeChannel a = new FakeChannel("a");
        publish(a, 1, "m1");
        front.publisherClosed(a);
        assertEquals(List.of("a"), gone);
        assertEquals(List.of("m1 true"), acceptances, "it was accepted, and is delivered nevertheless");
        answer(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        assertEquals(List.of(), takeSent());
        assertEquals(1, acknowledged.size());
        front.publisherClosed(new FakeChannel("b"));
        assertEquals(List.of("a"), gone, "the intake hears nothing of a publisher without publications");
    }
}
