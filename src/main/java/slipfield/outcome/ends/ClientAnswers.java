package slipfield.outcome.ends;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import slipfield.core.AnswerChannel;
import slipfield.core.AnswerPolling;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;
import slipfield.log.LoggedTask;

/**
 * Final answers for clients that poll for them. An answer is sent until its client returns the answer's cursor. Cursors are
 * valid for one process: after a restart all answers that are not acknowledged are sent again, in the journal's order. A
 * duplicate answer is harmless.
 */
public final class ClientAnswers implements AnswerChannel, AnswerPolling {
    /** The channel's name in the recipients of messages. */
    public static final String NAME = "ends";
    /** The size of an answer without its body and id, in bytes. */
    private static final int BYTES_PER_ANSWER = 300;
    /** Once a response is longer than this, it gets no further answer. */
    private static final int MAX_RESPONSE_CHARS = 48 * 1024;
    private static final long MAX_WAIT_MS = 30_000;
    private static final long SWEEP_MS = 1000;

    private final EventLoop loop;
    private final ClientsConfig.Retention retention;
    private final Consumer<PendingAnswer> acknowledged;
    private final String epoch;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Map<String, Peer> peers = new HashMap<>();
    /** Answers that are not acknowledged yet, the oldest first, by position: a counter that starts at 1 in each process. */
    private final Map<Long, Entry> all = new LinkedHashMap<>();
    private long nextPosition = 1;
    private long bytes;
    private boolean released;

    private record Entry(long position, PendingAnswer answer, long sinceNanos) {
        private long size() {
            return BYTES_PER_ANSWER + answer.message().body.length + answer.message().id.length();
        }
    }

    /** A client with its answers and its waiting poll, if any. */
    private static final class Peer {
        private final Deque<Entry> entries = new ArrayDeque<>();
        private WaitingPoll waiting;
    }

    private final class WaitingPoll implements Poll {
        private final String peer;
        private final Consumer<String> then;
        private Future<?> timer;

        private WaitingPoll(String peer, Consumer<String> then) {
            this.peer = peer;
            this.then = then;
        }

        private void answer(String lines) {
            cancel();
            then.accept(lines);
        }

        @Override
        public void cancel() {
            Peer client = peers.get(peer);
            if (client != null && client.waiting == this) {
                client.waiting = null;
                removeIfIdle(peer, client);
            }
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }

    /**
     * Creates the channel, which is used on the core's event loop.
     *
     * @param epoch a text that differs for each process; cursors begin with it
     * @param acknowledged called for each answer that need not be retained any more
     */
    public ClientAnswers(EventLoop loop, ClientsConfig.Retention retention, String epoch, Consumer<PendingAnswer> acknowledged) {
        this.loop = loop;
        this.retention = retention;
        this.epoch = epoch;
        this.acknowledged = acknowledged;
        loop.scheduleWithFixedDelay(LoggedTask.of("ends.sweep", this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public AnswerRecipient recipient(String peer) {
        return new AnswerRecipient(NAME, peer, true, true);
    }

    @Override
    public void enqueue(PendingAnswer answer) {
        Entry entry = new Entry(nextPosition++, answer, System.nanoTime());
        all.put(entry.position, entry);
        bytes += entry.size();
        peers.computeIfAbsent(answer.recipient().peer(), p -> new Peer()).entries.addLast(entry);
        int dropped = 0;
        while (all.size() > retention.maxAnswers() || bytes > retention.maxBytes() && all.size() > 1) {
            drop(all.values().iterator().next());
            dropped++;
        }
        logDropped(dropped, "too many");
    }

    /** Answers the waiting polls that this event-loop iteration has brought answers for, each with one response. */
    @Override
    public void flush() {
        List<WaitingPoll> due = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.waiting != null && !peer.entries.isEmpty()) {
                due.add(peer.waiting);
            }
        }
        due.forEach(w -> w.answer(lines(peers.get(w.peer))));
    }

    /** Always 0: unacknowledged answers stay in the journal, so a shutdown does not wait for them. */
    @Override
    public int pendingCount() {
        return 0;
    }

    @Override
    public Poll poll(String name, String after, long waitMs, Consumer<String> then) {
        Peer peer = peers.computeIfAbsent(name, n -> new Peer());
        acknowledge(peer, after);
        if (peer.waiting != null) {
            // A client polls once at a time, so the connection of its earlier poll is probably dead.
            peer.waiting.answer("");
            peer = peers.computeIfAbsent(name, n -> new Peer());
        }
        WaitingPoll waiting = new WaitingPoll(name, then);
        if (!peer.entries.isEmpty() || released || waitMs <= 0) {
            String lines = lines(peer);
            removeIfIdle(name, peer);
            then.accept(lines);
            return waiting;
        }
        peer.waiting = waiting;
        waiting.timer = loop.schedule(() -> waiting.answer(""), Math.min(MAX_WAIT_MS, waitMs), TimeUnit.MILLISECONDS);
        return waiting;
    }

    private void acknowledge(Peer peer, String after) {
        if (!after.startsWith(epoch + "-")) {
            return;
        }
        long upTo;
        try {
            upTo = Long.parseLong(after.substring(epoch.length() + 1));
        } catch (NumberFormatException unknownCursor) {
            return;
        }
        while (!peer.entries.isEmpty() && peer.entries.peekFirst().position <= upTo) {
            Entry entry = peer.entries.removeFirst();
            all.remove(entry.position);
            bytes -= entry.size();
            acknowledged.accept(entry.answer);
        }
    }

    private String lines(Peer peer) {
        StringBuilder lines = new StringBuilder();
        for (Entry entry : peer.entries) {
            PendingMessage message = entry.answer.message();
            PendingMessage.Notice notice = message.pendingNotice.orElseThrow();
            ObjectNode line = json.createObjectNode().put("cursor", epoch + "-" + entry.position).put("ref", message.id)
                    .put("end", switch (notice.answer()) {
                        case DELIVERED -> "delivered";
                        case REFUSED -> "refused";
                        case FAILED -> "failed";
                    });
            if (notice.waitMs() > 0) {
                line.put("wait_ms", Math.round(notice.waitMs()));
            }
            if (lines.length() > MAX_RESPONSE_CHARS) {
                break;
            }
            lines.append(line).append('\n');
        }
        return lines.toString();
    }

    private void drop(Entry entry) {
        all.remove(entry.position);
        bytes -= entry.size();
        String name = entry.answer.recipient().peer();
        Peer peer = peers.get(name);
        peer.entries.remove(entry);
        removeIfIdle(name, peer);
        acknowledged.accept(entry.answer);
    }

    private void removeIfIdle(String name, Peer peer) {
        if (peer.entries.isEmpty() && peer.waiting == null) {
            peers.remove(name, peer);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        int dropped = 0;
        while (!all.isEmpty()) {
            Entry oldest = all.values().iterator().next();
            if (now - oldest.sinceNanos < TimeUnit.MILLISECONDS.toNanos(retention.keepMs())) {
                break;
            }
            drop(oldest);
            dropped++;
        }
        logDropped(dropped, "too old");
    }

    private static void logDropped(int dropped, String why) {
        if (dropped > 0) {
            Log.warn("ends.dropped", "ends", dropped, "cause", why);
        }
    }

    @Override
    public void release() {
        released = true;
        List.copyOf(peers.values()).forEach(peer -> {
            if (peer.waiting != null) {
                peer.waiting.answer(lines(peer));
            }
        });
    }

    /** The number of answers that are not acknowledged yet. */
    public int retainedCount() {
        return all.size();
    }
}
