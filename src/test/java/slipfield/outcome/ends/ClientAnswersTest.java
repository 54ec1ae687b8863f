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

/** What is kept of ends, told again and forgotten; on a loop whose clock the test moves. */
class ClientAnswersTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLoop loop = channel.eventLoop();
    private final List<String> heard = new ArrayList<>();
    private final List<String> told = new ArrayList<>();

    private ClientAnswers ends(long keepMs, int most, long mostBytes) {
        return new ClientAnswers(loop, new ClientsConfig.Retention(keepMs, most, mostBytes), "e1",
                owed -> heard.add(owed.message().id));
    }

    private static PendingAnswer owed(ClientAnswers ends, String peer, String id, PendingMessage.FinalAnswer end, double waitMs) {
        PendingMessage held = new PendingMessage(1, id, "c", "t", Optional.empty(), 7, 0, new byte[100], ends.recipient(peer));
        held.pendingNotice = Optional.of(new PendingMessage.Notice(end, waitMs));
        return new PendingAnswer(held, ends.recipient(peer));
    }

    private void owe(ClientAnswers ends, String peer, String... ids) {
        for (String id : ids) {
            ends.enqueue(owed(ends, peer, id, PendingMessage.FinalAnswer.DELIVERED, 0));
        }
        ends.flush();
    }

    private AnswerPolling.Poll ask(ClientAnswers ends, String peer, String after, long waitMs) {
        return ends.poll(peer, after, waitMs, told::add);
    }

    private static String line(int place, String id) {
        return "{\"cursor\":\"e1-" + place + "\",\"ref\":\"" + id + "\",\"end\":\"delivered\"}\n";
    }

    @Test
    void endsAreToldUntilTheirCursorComesBack() {
        ClientAnswers ends = ends(60_000, 100, 1 << 20);
        owe(ends, "desk", "a", "b");
        ask(ends, "desk", "", 0);
        ask(ends, "desk", "e0-99", 0);
        ask(ends, "desk", "e1-1", 0);
        assertEquals(List.of(line(1, "a") + line(2, "b"), line(1, "a") + line(2, "b"), line(2, "b")), told);
        assertEquals(List.of("a"), heard);
        ask(ends, "desk", "e1-2", 0);
        assertEquals("", told.get(3));
        assertEquals(List.of("a", "b"), heard);
        assertEquals(0, ends.retainedCount());
    }

    @Test
    void aRefusalTellsWhenToComeBack() {
        ClientAnswers ends = ends(60_000, 100, 1 << 20);
        ends.enqueue(owed(ends, "desk", "a", PendingMessage.FinalAnswer.REFUSED, 250.4));
        ends.enqueue(owed(ends, "desk", "b", PendingMessage.FinalAnswer.FAILED, 0));
        ask(ends, "desk", "", 0);
        assertEquals("{\"cursor\":\"e1-1\",\"ref\":\"a\",\"end\":\"refused\",\"wait_ms\":250}\n"
                + "{\"cursor\":\"e1-2\",\"ref\":\"b\",\"end\":\"failed\"}\n", told.get(0));
    }

    @Test
    void whoWaitsHearsAtTheTurnsEndAndOthersHearNothing() {
        ClientAnswers ends = ends(60_000, 100, 1 << 20);
        ask(ends, "desk", "", 5000);
        owe(ends, "other", "x");
        assertEquals(List.of(), told);
        owe(ends, "desk", "a", "b");
        assertEquals(List.of(line(2, "a") + line(3, "b")), told);
        // An earlier question of the same client is answered, since its connection is mostly dead.
        ask(ends, "desk", "e1-3", 5000);
        ask(ends, "desk", "e1-3", 5000);
        assertEquals("", told.get(1));
        AnswerPolling.Poll gone = ask(ends, "desk", "e1-3", 5000);
        gone.cancel();
        owe(ends, "desk", "c");
        assertEquals(3, told.size(), "one that is gone is told nothing");
        ends.release();
        ask(ends, "desk", "", 5000);
        assertEquals(line(4, "c"), told.get(3), "and a sender that ends answers at once");
    }

    @Test
    void aWaitEndsByItsTime() {
        ClientAnswers ends = ends(60_000, 100, 1 << 20);
        channel.freezeTime();
        ask(ends, "desk", "", 5000);
        channel.advanceTimeBy(4999, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(), told);
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(""), told);
    }

    @Test
    void whatIsTooMuchGoesOldestFirst() {
        ClientAnswers few = ends(60_000, 3, 1 << 20);
        owe(few, "gone", "a", "b");
        owe(few, "desk", "c", "d", "e");
        assertEquals(List.of("a", "b"), heard);
        assertEquals(3, few.retainedCount());
        heard.clear();
        ClientAnswers small = ends(60_000, 100, 1000);
        owe(small, "desk", "a", "b", "c", "d");
        assertEquals(List.of("a", "b"), heard);
        heard.clear();
        ClientAnswers old = ends(1, 100, 1 << 20);
        owe(old, "gone", "a");
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        channel.advanceTimeBy(2000, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(List.of("a"), heard);
        assertEquals(0, old.retainedCount());
    }

    /** A body of any size is one answer after the other, none much longer than it may be. */
    @Test
    void aLongListIsToldInParts() {
        ClientAnswers ends = ends(60_000, 10_000, 1 << 24);
        for (int i = 1; i <= 3000; i++) {
            ends.enqueue(owed(ends, "desk", "id-" + i, PendingMessage.FinalAnswer.DELIVERED, 0));
        }
        String after = "";
        for (int answers = 0; heard.size() < 3000; answers++) {
            ask(ends, "desk", after, 0);
            String lines = told.get(answers);
            assertTrue(lines.length() < 50_000 && answers < 20);
            int last = lines.lastIndexOf("\"cursor\":\"") + 10;
            after = lines.isEmpty() ? after : lines.substring(last, lines.indexOf('"', last));
        }
        assertEquals("id-3000", heard.get(2999));
    }

    @Test
    void itsFileIsReadOrNamedWithTheMend(@TempDir Path folder) throws Exception {
        ClientsConfig shipped = ClientsConfig.read(Path.of("deploy", "clients.yaml"));
        assertEquals(new ClientsConfig(5000, true, Optional.of(new ClientsConfig.Retention(60_000, 10_000, 2048 * 1024))), shipped);
        Path file = folder.resolve("clients.yaml");
        for (String[] wrong : new String[][] {{"ends: {keep: 60}", ":1:14: ends.keep is a time with its unit"},
            {"wait_scope: maybe", ":1:13: wait_scope is none of its values"}, {"end: {}", "did you mean 'ends'?"},
            {"ends:\n  most: 0", ":2:9: ends.most is a whole number from 1 to 1000000"}}) {
            Files.writeString(file, wrong[0]);
            String told = assertThrows(BadInput.class, () -> ClientsConfig.read(file)).getMessage();
            assertTrue(told.contains(wrong[1]), told);
        }
    }
}
