package slipfield.outcome.ends;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.config.BadInput;
import slipfield.core.AnswerPolling;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;

/** How long answers are retained, and when they are sent again; on an event loop whose clock the test moves. */
class ClientAnswersTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLoop loop = channel.eventLoop();
    private final List<String> acknowledged = new ArrayList<>();
    private final List<String> responses = new ArrayList<>();

    private ClientAnswers answers(long keepMs, int maxAnswers, long maxBytes) {
        return new ClientAnswers(loop, new ClientsConfig.Retention(keepMs, maxAnswers, maxBytes), "e1",
                owed -> acknowledged.add(owed.message().id));
    }

    private static PendingAnswer pendingAnswer(ClientAnswers answers, String peer, String id, PendingMessage.FinalAnswer end,
            double waitMs) {
        PendingMessage held = new PendingMessage(1, id, "c", "t", Optional.empty(), 7, 0, new byte[100], answers.recipient(peer));
        held.pendingNotice = Optional.of(new PendingMessage.Notice(end, waitMs));
        return new PendingAnswer(held, answers.recipient(peer));
    }

    private void enqueue(ClientAnswers answers, String peer, String... ids) {
        for (String id : ids) {
            answers.enqueue(pendingAnswer(answers, peer, id, PendingMessage.FinalAnswer.DELIVERED, 0));
        }
        answers.flush();
    }

    private AnswerPolling.Poll poll(ClientAnswers answers, String peer, String after, long waitMs) {
        return answers.poll(peer, after, waitMs, responses::add);
    }

    private static String line(int place, String id) {
        return "{\"cursor\":\"e1-" + place + "\",\"ref\":\"" + id + "\",\"end\":\"delivered\"}\n";
    }

    @Test
    void answersAreSentUntilTheirCursorIsReturned() {
        ClientAnswers answers = answers(60_000, 100, 1 << 20);
        enqueue(answers, "desk", "a", "b");
        poll(answers, "desk", "", 0);
        poll(answers, "desk", "e0-99", 0);
        poll(answers, "desk", "e1-1", 0);
        assertEquals(List.of(line(1, "a") + line(2, "b"), line(1, "a") + line(2, "b"), line(2, "b")), responses);
        assertEquals(List.of("a"), acknowledged);
        poll(answers, "desk", "e1-2", 0);
        assertEquals("", responses.get(3));
        assertEquals(List.of("a", "b"), acknowledged);
        assertEquals(0, answers.retainedCount());
    }

    @Test
    void aRefusalHasItsRequestedDelay() {
        ClientAnswers answers = answers(60_000, 100, 1 << 20);
        answers.enqueue(pendingAnswer(answers, "desk", "a", PendingMessage.FinalAnswer.REFUSED, 250.4));
        answers.enqueue(pendingAnswer(answers, "desk", "b", PendingMessage.FinalAnswer.FAILED, 0));
        poll(answers, "desk", "", 0);
        assertEquals("{\"cursor\":\"e1-1\",\"ref\":\"a\",\"end\":\"refused\",\"wait_ms\":250}\n"
                + "{\"cursor\":\"e1-2\",\"ref\":\"b\",\"end\":\"failed\"}\n", responses.get(0));
    }

    @Test
    void aWaitingPollIsAnsweredAtTheEndOfTheIterationAndOthersAreNot() {
        ClientAnswers answers = answers(60_000, 100, 1 << 20);
        poll(answers, "desk", "", 5000);
        enqueue(answers, "other", "x");
        assertEquals(List.of(), responses);
        enqueue(answers, "desk", "a", "b");
        assertEquals(List.of(line(2, "a") + line(3, "b")), responses);
        // An earlier poll of the same client is answered, since its connection is probably dead.
        poll(answers, "desk", "e1-3", 5000);
        poll(answers, "desk", "e1-3", 5000);
        assertEquals("", responses.get(1));
        AnswerPolling.Poll cancelled = poll(answers, "desk", "e1-3", 5000);
        cancelled.cancel();
        enqueue(answers, "desk", "c");
        assertEquals(3, responses.size(), "a cancelled poll is not answered");
        answers.release();
        poll(answers, "desk", "", 5000);
        assertEquals(line(4, "c"), responses.get(3), "a sender that shuts down answers at once");
    }

    @Test
    void aPollEndsWhenItsWaitTimeIsOver() {
        ClientAnswers answers = answers(60_000, 100, 1 << 20);
        channel.freezeTime();
        poll(answers, "desk", "", 5000);
        channel.advanceTimeBy(4999, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(), responses);
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(""), responses);
    }

    @Test
    void theOldestAnswersAreDroppedBeyondTheLimits() {
        ClientAnswers few = answers(60_000, 3, 1 << 20);
        enqueue(few, "gone", "a", "b");
        enqueue(few, "desk", "c", "d", "e");
        assertEquals(List.of("a", "b"), acknowledged);
        assertEquals(3, few.retainedCount());
        acknowledged.clear();
        ClientAnswers small = answers(60_000, 100, 1000);
        enqueue(small, "desk", "a", "b", "c", "d");
        assertEquals(List.of("a", "b"), acknowledged);
        acknowledged.clear();
        ClientAnswers old = answers(1, 100, 1 << 20);
        enqueue(old, "gone", "a");
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        channel.advanceTimeBy(2000, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of("a"), acknowledged);
        assertEquals(0, old.retainedCount());
    }

    /** Many answers are sent in several responses, none of them much longer than the limit. */
    @Test
    void manyAnswersAreSentInSeveralResponses() {
        ClientAnswers answers = answers(60_000, 10_000, 1 << 24);
        for (int i = 1; i <= 3000; i++) {
            answers.enqueue(pendingAnswer(answers, "desk", "id-" + i, PendingMessage.FinalAnswer.DELIVERED, 0));
        }
        String after = "";
        for (int polls = 0; acknowledged.size() < 3000; polls++) {
            poll(answers, "desk", after, 0);
            String lines = responses.get(polls);
            assertTrue(lines.length() < 50_000 && polls < 20);
            int last = lines.lastIndexOf("\"cursor\":\"") + 10;
            after = lines.isEmpty() ? after : lines.substring(last, lines.indexOf('"', last));
        }
        assertEquals("id-3000", acknowledged.get(2999));
    }

    @Test
    void itsSettingsAreReadAndErrorsSayHowToCorrectThem(@TempDir Path folder) throws Exception {
        ClientsConfig shipped = ClientsConfig.read(Path.of("deploy", "clients.yaml"));
        assertEquals(new ClientsConfig(5000, true, Optional.of(new ClientsConfig.Retention(60_000, 10_000, 2048 * 1024))),
                shipped);
        Path file = folder.resolve("clients.yaml");
        for (String[] wrong : new String[][] {{"ends: {keep: 60}", ":1:14: ends.keep is a time with its unit"},
            {"wait_scope: maybe", ":1:13: wait_scope is none of its values"}, {"end: {}", "did you mean 'ends'?"},
            {"ends:\n  most: 0", ":2:9: ends.most is a whole number from 1 to 1000000"}}) {
            Files.writeString(file, wrong[0]);
            String message = assertThrows(BadInput.class, () -> ClientsConfig.read(file)).getMessage();
            assertTrue(message.contains(wrong[1]), message);
        }
    }
}
