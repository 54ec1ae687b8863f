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
import slipfield.amqp.decide.RoutingTable;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;

/** What publishers hear of what the desk says, one publication at a time; no connection and no sender. */
class PublisherFrontendTest {
    private final List<String> told = new ArrayList<>();
    private final List<String> left = new ArrayList<>();
    private final List<PendingAnswer> heard = new ArrayList<>();
    private final Map<String, MessageIntake.DuplicateState> known = new HashMap<>();
    private final List<PendingMessage> taken = new ArrayList<>();
    private final List<String> answered = new ArrayList<>();
    private boolean writes = true;
    private long waitMs = -1;
    private final PublisherFrontend front = new PublisherFrontend(null, new RoutingTable().addExchange("x",
            List.of(new RoutingTable.Route("#", "c", 7, 0))), heard::add);

    private final class Channel implements Publisher {
        private final String peer;

        Channel(String peer) {
            this.peer = peer;
        }

        @Override
        public String peer() {
            return peer;
        }

        @Override
        public void returnMessage(Publication p, ReplyCode code, String text, Map<String, Object> headers) {
            told.add(peer + p.tag() + " " + code.number() + " " + headers.get(ReturnHeaders.END)
                    + (headers.containsKey(ReturnHeaders.RETRY_AFTER) ? " " + headers.get(ReturnHeaders.RETRY_AFTER) : ""));
        }

        @Override
        public void confirm(Publication p, boolean ack) {
            told.add(peer + p.tag() + (ack ? " ack" : " nack"));
        }

        @Override
        public void flush() {
            told.add(peer + " flush");
        }
    }

    private final class World implements MessageIntake {
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
        public boolean knowsDestination(long destination) {
            return true;
        }

        @Override
        public Optional<DuplicateState> checkDuplicate(String id, AnswerRecipient claim) {
            return Optional.ofNullable(known.get(id));
        }

        @Override
        public void recipientGone(String outcome, String peer) {
            left.add(peer);
        }

        @Override
        public SubmissionResult submit(Submission s) {
            if (waitMs >= 0) {
                return SubmissionResult.refused("no room", waitMs);
            }
            PendingMessage held = new PendingMessage(taken.size(), s.id(), s.messageClass(), s.tenant(), s.key(), s.destination(),
                    0, s.body(), s.recipients().get(0));
            taken.add(held);
            known.put(s.id(), DuplicateState.PENDING);
            return SubmissionResult.accepted(held);
        }

        @Override
        public boolean writeAccepted() {
            return writes;
        }

        @Override
        public void acceptanceReported(PendingMessage held, boolean wasHeard) {
            answered.add(held.id + " " + wasHeard);
        }
    }

    PublisherFrontendTest() {
        front.setIntake(new World(), null);
    }

    private void publish(Channel from, long tag, String id) {
        front.published(from, new Publication(tag, new AmqpConfig.User("u", Optional.empty(), "", Set.of(), Set.of()), "x", "k",
                Properties.NONE.with(Properties.Property.MESSAGE_ID, id), new byte[0]));
    }

    private void owe(int number, PendingMessage.FinalAnswer end, double wait) {
        PendingMessage held = taken.get(number);
        held.pendingNotice = Optional.of(new PendingMessage.Notice(end, wait));
        front.enqueue(new PendingAnswer(held, held.recipients.get(0)));
        front.flush();
    }

    private List<String> told() {
        List<String> all = List.copyOf(told);
        told.clear();
        return all;
    }

    @Test
    void nothingIsToldBeforeTheEndAndThenTheTruth() {
        Channel a = new Channel("a");
        publish(a, 1, "m1");
        publish(a, 2, "m2");
        publish(a, 3, "m3");
        front.batchEnded();
        assertEquals(List.of(), told());
        assertEquals(List.of("m1 true", "m2 true", "m3 true"), answered);
        owe(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        owe(1, PendingMessage.FinalAnswer.REFUSED, 250.4);
        owe(2, PendingMessage.FinalAnswer.FAILED, 0);
        assertEquals(List.of("a1 ack", "a flush", "a2 506 refused 250", "a2 nack", "a flush", "a3 541 failed", "a3 nack",
                "a flush"), told());
        assertEquals(3, heard.size());
    }

    /** What could not be written is not taken, whatever the desk had said before. */
    @Test
    void whatIsNotInTheJournalIsGivenBack() {
        writes = false;
        publish(new Channel("a"), 1, "m1");
        front.batchEnded();
        assertEquals(List.of("m1 false"), answered);
        assertEquals(List.of("a1 506 refused", "a1 nack", "a flush"), told());
    }

    @Test
    void aRefusalAtTheDoorTellsItsWait() {
        waitMs = 1200;
        publish(new Channel("a"), 1, "m1");
        waitMs = 0;
        publish(new Channel("a"), 2, "m2");
        assertEquals(List.of("a1 506 refused 1200", "a1 nack", "a2 506 refused", "a2 nack"), told());
    }

    /** The same id twice in one read: the first is in the journal before anything is said of the second. */
    @Test
    void anIdThatIsHeldIsAwaitedByAllWhoPublishedIt() {
        Channel a = new Channel("a");
        Channel b = new Channel("b");
        publish(a, 1, "m1");
        publish(a, 2, "m1");
        assertEquals(List.of("m1 true"), answered, "written before the second is looked at");
        publish(b, 1, "m1");
        front.batchEnded();
        assertEquals(1, taken.size());
        owe(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        assertEquals(List.of("a1 ack", "a2 ack", "a flush"), told());
        PendingMessage held = taken.get(0);
        front.enqueue(new PendingAnswer(held, new AnswerRecipient(PublisherFrontend.NAME, "b", true, false)));
        front.flush();
        assertEquals(List.of("b1 ack", "b flush"), told());
        known.put("m1", MessageIntake.DuplicateState.DELIVERED);
        publish(a, 3, "m1");
        known.put("m1", MessageIntake.DuplicateState.UNDELIVERED);
        publish(a, 4, "m1");
        assertEquals(List.of("a3 ack", "a4 541 failed", "a4 nack"), told());
    }

    @Test
    void whoHasLeftIsOwedNothing() {
        Channel a = new Channel("a");
        publish(a, 1, "m1");
        front.publisherClosed(a);
        assertEquals(List.of("a"), left);
        assertEquals(List.of("m1 true"), answered, "it was taken, and is delivered all the same");
        owe(0, PendingMessage.FinalAnswer.DELIVERED, 0);
        assertEquals(List.of(), told());
        assertEquals(1, heard.size());
        front.publisherClosed(new Channel("b"));
        assertEquals(List.of("a"), left, "one that waits for nothing is not looked for");
    }
}
