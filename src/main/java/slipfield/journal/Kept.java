package slipfield.journal;

import java.io.ByteArrayOutputStream;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import slipfield.policy.DeliveryPolicy;

/**
 * What a journal's records say is so, and how many bytes it takes to say that again: messages that are held, ids that are
 * over, what was learnt of endpoints and paces. No I/O.
 */
final class Kept {
    /** Room for the later records of a message: for each attempt, and for its end. */
    static final int ATTEMPT_ROOM = 128;
    private static final int END_ROOM = 64;
    /** Part of the bound for ids that are over. */
    private static final int OVER_PART = 32;

    final Map<Long, PendingMessage> live = new TreeMap<>();
    /** What the module last knew of endpoints that are not in service. */
    final Map<String, Journal.Health> health = new TreeMap<>();
    final Map<Journal.SendRateKey, DeliveryPolicy.SendRate> paces = new LinkedHashMap<>();
    /** Ids of messages that are over, the newest last, and whether they were delivered. */
    final Map<String, Boolean> over = new LinkedHashMap<>();
    private final long mostOverBytes;
    private final long messageRoom;
    private long overBytes;
    private long bytes;
    private long numbers;

    /** {@code bound}: bytes of the folder. */
    Kept(long bound, int maxAttempts) {
        this.mostOverBytes = bound / OVER_PART;
        this.messageRoom = (long) maxAttempts * ATTEMPT_ROOM + END_ROOM;
    }

    /** Bytes that a file needs which says this and no more, at the most. */
    long bytes() {
        return bytes;
    }

    /** The same with one message more, of a record of so many bytes, and all records that the messages may still need. */
    long bytesWith(int record) {
        return bytes + record + messageRoom * (live.size() + 1L);
    }

    /** A number for the next message, above all that were used. */
    long nextNumber() {
        return numbers++;
    }

    void used(long number) {
        numbers = Math.max(numbers, number + 1);
    }

    /** A record of a message is, or will be, in the file. */
    void count(PendingMessage held, int length) {
        held.bytes += length;
        bytes += length;
    }

    /** A message is over, or was never taken; false: it was not held. */
    boolean remove(PendingMessage held) {
        boolean was = live.remove(held.number) != null;
        bytes -= was ? held.bytes : 0;
        return was;
    }

    void over(String id, boolean delivered) {
        if (over.put(id, delivered) == null) {
            countOver(overRoom(id));
        }
        Iterator<String> eldest = over.keySet().iterator();
        while (overBytes > mostOverBytes) {
            countOver(-overRoom(eldest.next()));
            eldest.remove();
        }
    }

    private void countOver(int length) {
        overBytes += length;
        bytes += length;
    }

    /** Bytes of its record, at the most. */
    private static int overRoom(String id) {
        return Form.HEAD + 12 + 3 * id.length();
    }

    /** One that is unbounded takes up no room. */
    void pace(Journal.SendRateKey of, DeliveryPolicy.SendRate now, int length) {
        boolean before = paces.remove(of) != null;
        boolean stays = now.perMs() < Double.POSITIVE_INFINITY;
        if (stays) {
            paces.put(of, now);
        }
        bytes += (stays ? length : 0) - (before ? length : 0);
    }

    /** One that is in service, or forgotten, takes up no room. */
    void health(String endpoint, Journal.Health now, int length) {
        boolean before = health.remove(endpoint) != null;
        boolean stays = now.state() != DeliveryPolicy.State.UP;
        if (stays) {
            health.put(endpoint, now);
        }
        bytes += (stays ? length : 0) - (before ? length : 0);
    }

    /** All of it as records, in the order in which they are to be read. */
    byte[] records(ProcessClock.Reference clock) {
        ByteArrayOutputStream all = new ByteArrayOutputStream((int) bytes);
        all.writeBytes(Form.clock(clock));
        health.forEach((endpoint, known) -> all.writeBytes(Form.health(endpoint, known)));
        paces.forEach((of, known) -> all.writeBytes(Form.pace(of, known)));
        over.forEach((id, delivered) -> all.writeBytes(Form.over(id, delivered)));
        for (PendingMessage held : live.values()) {
            all.writeBytes(Form.taken(held));
            for (int i = 0; i < held.attempts.size(); i++) {
                all.writeBytes(Form.attempt(held, held.attempts.get(i)));
                if (held.attempts.get(i).neverRan) {
                    all.writeBytes(Form.neverRan(held, i));
                }
            }
            if (held.pendingNotice.isPresent()) {
                all.writeBytes(Form.owed(held, held.pendingNotice.get()));
            }
        }
        return all.toByteArray();
    }
}
