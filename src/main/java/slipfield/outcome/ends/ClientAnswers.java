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
 * Ends for clients that follow them. Each is told until its cursor came back; a cursor is of one life of the sender, and in
 * the next one all that was not heard is told again, in the journal's order: an end that is told twice does no harm.
 */
public final class ClientAnswers implements AnswerChannel, AnswerPolling {
    /** The outcome's name in claims. */
    public static final String NAME = "ends";
    /** What an end costs besides its body, in bytes. */
    private static final int OVERHEAD = 300;
    private static final int LONGEST_ANSWER = 48 * 1024;
    private static final long MOST_WAIT_MS = 30_000;
    private static final long SWEEP_MS = 1000;

    private final EventLoop loop;
    private final ClientsConfig.Retention keep;
    private final Consumer<PendingAnswer> heard;
    private final String epoch;
    private final JsonMapper json = JsonMapper.builder().build();
    private final Map<String, Peer> peers = new HashMap<>();
    /** All that are not heard yet, the oldest first, by their place in this life. */
    private final Map<Long, Entry> all = new LinkedHashMap<>();
    private long next = 1;
    private long bytes;
    private boolean released;

    private record Entry(long place, PendingAnswer owed, long sinceNanos) {
        private long size() {
            return OVERHEAD + owed.message().body.length + owed.message().id.length();
        }
    }

    /** A client. */
    private static final class Peer {
        private final Deque<Entry> entries = new ArrayDeque<>();
        private Waiting waiting;
    }

    private final class Waiting implements Poll {
        private final String peer;
        private final Consumer<String> then;
        private Future<?> timer;

        private Waiting(String peer, Consumer<String> then) {
            this.peer = peer;
            this.then = then;
        }

        private void answer(String lines) {
            cancel();
            then.accept(lines);
        }

        @Override
        public void cancel() {
            Peer of = peers.get(peer);
            if (of != null && of.waiting == this) {
                of.waiting = null;
                forget(peer, of);
            }
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }

    /**
     * Keeps ends as it is told, on the core's loop.
     *
     * @param epoch another in each life
     * @param heard is told of each that needs not be kept any more
     */
    public ClientAnswers(EventLoop loop, ClientsConfig.Retention keep, String epoch, Consumer<PendingAnswer> heard) {
        this.loop = loop;
        this.keep = keep;
        this.epoch = epoch;
        this.heard = heard;
        loop.scheduleWithFixedDelay(LoggedTask.of("ends.sweep", this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public AnswerRecipient recipient(String peer) {
        return new AnswerRecipient(NAME, peer, true, true);
    }

    @Override
    public void enqueue(PendingAnswer answer) {
        Entry entry = new Entry(next++, answer, System.nanoTime());
        all.put(entry.place, entry);
        bytes += entry.size();
        peers.computeIfAbsent(answer.recipient().peer(), p -> new Peer()).entries.addLast(entry);
        int dropped = 0;
        while (all.size() > keep.maxAnswers() || bytes > keep.maxBytes() && all.size() > 1) {
            drop(all.values().iterator().next());
            dropped++;
        }
        told(dropped, "too many");
    }

    /** Those who wait hear what their turn has ended, in one answer. */
    @Override
    public void flush() {
        List<Waiting> due = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.waiting != null && !peer.entries.isEmpty()) {
                due.add(peer.waiting);
            }
        }
        due.forEach(w -> w.answer(lines(peers.get(w.peer))));
    }

    /** Ends are kept in the journal: a sender that ends waits for nobody to hear them but who listens now. */
    @Override
    public int pendingCount() {
        return 0;
    }

    @Override
    public Poll poll(String name, String after, long waitMs, Consumer<String> then) {
        Peer peer = peers.computeIfAbsent(name, n -> new Peer());
        acknowledge(peer, after);
        if (peer.waiting != null) {
            // One client asks once at a time: the connection of the earlier question is mostly dead.
            peer.waiting.answer("");
            peer = peers.computeIfAbsent(name, n -> new Peer());
        }
        Waiting waiting = new Waiting(name, then);
        if (!peer.entries.isEmpty() || released || waitMs <= 0) {
            String lines = lines(peer);
            forget(name, peer);
            then.accept(lines);
            return waiting;
        }
        peer.waiting = waiting;
        waiting.timer = loop.schedule(() -> waiting.answer(""), Math.min(MOST_WAIT_MS, waitMs), TimeUnit.MILLISECONDS);
        return waiting;
    }

    private void acknowledge(Peer peer, String after) {
        if (!after.startsWith(epoch + "-")) {
            return;
        }
        long upTo;
        try {
            upTo = Long.parseLong(after.substring(epoch.length() + 1));
        } catch (NumberFormatException notOurs) {
            return;
        }
        while (!peer.entries.isEmpty() && peer.entries.peekFirst().place <= upTo) {
            Entry entry = peer.entries.removeFirst();
            all.remove(entry.place);
            bytes -= entry.size();
            heard.accept(entry.owed);
        }
    }

    private String lines(Peer peer) {
        StringBuilder lines = new StringBuilder();
        for (Entry entry : peer.entries) {
            PendingMessage held = entry.owed.message();
            PendingMessage.Notice notice = held.pendingNotice.orElseThrow();
            ObjectNode line = json.createObjectNode().put("cursor", epoch + "-" + entry.place).put("ref", held.id)
                    .put("end", switch (notice.answer()) {
                        case DELIVERED -> "delivered";
                        case REFUSED -> "refused";
                        case FAILED -> "failed";
                    });
            if (notice.waitMs() > 0) {
                line.put("wait_ms", Math.round(notice.waitMs()));
            }
            if (lines.length() > LONGEST_ANSWER) {
                break;
            }
            lines.append(line).append('\n');
        }
        return lines.toString();
    }

    private void drop(Entry entry) {
        all.remove(entry.place);
        bytes -= entry.size();
        String name = entry.owed.recipient().peer();
        Peer peer = peers.get(name);
        peer.entries.remove(entry);
        forget(name, peer);
        heard.accept(entry.owed);
    }

    private void forget(String name, Peer peer) {
        if (peer.entries.isEmpty() && peer.waiting == null) {
            peers.remove(name, peer);
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        int dropped = 0;
        while (!all.isEmpty()) {
            Entry oldest = all.values().iterator().next();
            if (now - oldest.sinceNanos < TimeUnit.MILLISECONDS.toNanos(keep.keepMs())) {
                break;
            }
            drop(oldest);
            dropped++;
        }
        told(dropped, "too old");
    }

    private static void told(int dropped, String why) {
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

    /** Ends that were not heard yet. */
    public int retainedCount() {
        return all.size();
    }
}
