package slipfield.journal;

import java.io.ByteArrayOutputStream;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import slipfield.policy.DeliveryPolicy;

/**
 * The state that a journal's records describe, and the size in bytes of a compacted file with the same state: pending messages,
 * ids of completed ones (the newest as text, older ones as hashes), the health of endpoints and send rates. No I/O.
 */
final class JournalState {
    /** Bytes reserved for the later records of a message: for each attempt, and for its final answer. */
    static final int ATTEMPT_BYTES = 128;
    private static final int ANSWER_BYTES = 64;
    /** Bytes of the record that an attempt waits to begin. */
    private static final int WAITS_BYTES = RecordFormat.HEADER_BYTES + 1 + 2 * Long.BYTES + Integer.BYTES;
    /** The text of completed ids takes up 1/32 of the bound at the most, hashes of older ones 1/5. */
    private static final int COMPLETED_DIVISOR = 32;
    private static final int HASHES_DIVISOR = 5;
    /** Upper bound of the bytes that a hash takes up, with its share of the record that it is in. */
    private static final int HASH_BYTES = Long.BYTES + 1;

    final Map<Long, PendingMessage> pending = new TreeMap<>();
    /** The last known health of endpoints that are not in service. */
    final Map<String, Journal.Health> health = new TreeMap<>();
    /** The last known health of destinations that are not in service as a whole. */
    final Map<Long, Journal.Health> destinationHealth = new TreeMap<>();
    final Map<Journal.SendRateKey, DeliveryPolicy.SendRate> sendRates = new LinkedHashMap<>();
    /** Ids of completed messages, the newest last, and whether they were delivered. */
    final Map<String, Boolean> completed = new LinkedHashMap<>();
    /** Completed messages whose ids are not kept as text any more. */
    final IdHashQueue hashes;
    private final long maxCompletedBytes;
    private final long reservedPerMessage;
    private long completedBytes;
    private long bytes;
    private long nextNumber;

    /**
     * Creates an empty state.
     *
     * @param bound greatest size of the folder in bytes
     * @param knownIds how many ids of completed messages are kept, if there is room for them
     */
    JournalState(long bound, int maxAttempts, int knownIds) {
        this.hashes = new IdHashQueue((int) Math.max(1, Math.min(knownIds, bound / HASHES_DIVISOR / HASH_BYTES)));
        this.maxCompletedBytes = bound / COMPLETED_DIVISOR;
        this.reservedPerMessage = (long) maxAttempts * ATTEMPT_BYTES + ANSWER_BYTES;
    }

    /** Upper bound of the size in bytes of a compacted file. */
    long bytes() {
        return bytes;
    }

    /**
     * {@link #bytes()} with one more message, whose record has this length, and the bytes reserved for the later records of
     * all pending messages.
     */
    long bytesWith(int record) {
        return bytes + record + reservedPerMessage * (pending.size() + 1L);
    }

    /** The number for the next message, greater than every number used before. */
    long nextNumber() {
        return nextNumber++;
    }

    void markUsed(long number) {
        nextNumber = Math.max(nextNumber, number + 1);
    }

    /** Counts a record of a message that is, or will be, in the file. */
    void count(PendingMessage message, int length) {
        message.bytes += length;
        bytes += length;
    }

    /** Sets whether an attempt waits to begin; a compacted file has a record of it only while it does. */
    void setWaitsToBegin(PendingMessage message, int number, boolean waits) {
        PendingMessage.Attempt attempt = message.attempts.get(number);
        if (attempt.waitsToBegin != waits) {
            attempt.waitsToBegin = waits;
            count(message, waits ? WAITS_BYTES : -WAITS_BYTES);
        }
    }

    /** The end of an attempt proved that it did not run; whether it ever began makes no difference any more. */
    void setNeverRan(PendingMessage message, int number) {
        setWaitsToBegin(message, number, false);
        message.attempts.get(number).neverRan = true;
    }

    /** Removes a message that is completed or withdrawn; false: it was not pending. */
    boolean remove(PendingMessage message) {
        boolean was = pending.remove(message.number) != null;
        bytes -= was ? message.bytes : 0;
        return was;
    }

    /** Adds the id of a completed message; of the oldest ones only hashes are kept where they take up too much. */
    void completed(String id, boolean delivered) {
        if (completed.put(id, delivered) == null) {
            countCompleted(completedIdBytes(id));
        }
        Iterator<Map.Entry<String, Boolean>> eldest = completed.entrySet().iterator();
        while (completedBytes > maxCompletedBytes) {
            Map.Entry<String, Boolean> oldest = eldest.next();
            countCompleted(-completedIdBytes(oldest.getKey()));
            hashed(IdHash.entry(oldest.getKey(), oldest.getValue()));
            eldest.remove();
        }
    }

    /** Adds a completed message by an entry of {@link IdHash}; the oldest entry is dropped if there are too many. */
    void hashed(long entry) {
        int before = hashes.size();
        hashes.add(entry);
        bytes += (long) (hashes.size() - before) * HASH_BYTES;
    }

    private void countCompleted(int length) {
        completedBytes += length;
        bytes += length;
    }

    /** Upper bound of the length of the id's record. */
    private static int completedIdBytes(String id) {
        return RecordFormat.HEADER_BYTES + 12 + 3 * id.length();
    }

    /** Sets a send rate; an unbounded one is dropped. */
    void sendRate(Journal.SendRateKey key, DeliveryPolicy.SendRate now, int length) {
        boolean before = sendRates.remove(key) != null;
        boolean stays = now.perMs() < Double.POSITIVE_INFINITY;
        if (stays) {
            sendRates.put(key, now);
        }
        bytes += (stays ? length : 0) - (before ? length : 0);
    }

    /** Sets an endpoint's health; one that is in service, or forgotten, is dropped. */
    void health(String endpoint, Journal.Health now, int length) {
        replaceHealth(health, endpoint, now, length);
    }

    /** Sets the health of a destination as a whole; one that is in service is dropped. */
    void destinationHealth(long destination, Journal.Health now, int length) {
        replaceHealth(destinationHealth, destination, now, length);
    }

    private <K> void replaceHealth(Map<K, Journal.Health> known, K key, Journal.Health now, int length) {
        boolean before = known.remove(key) != null;
        boolean stays = now.state() != DeliveryPolicy.State.UP;
        if (stays) {
            known.put(key, now);
        }
        bytes += (stays ? length : 0) - (before ? length : 0);
    }

    /** The whole state as records, in the order in which they have to be read. */
    byte[] records(ProcessClock.Reference clock) {
        ByteArrayOutputStream all = new ByteArrayOutputStream((int) bytes);
        all.writeBytes(RecordFormat.clock(clock));
        health.forEach((endpoint, known) -> all.writeBytes(RecordFormat.health(endpoint, known)));
        destinationHealth.forEach((destination, known) -> all.writeBytes(RecordFormat.destinationHealth(destination, known)));
        sendRates.forEach((key, known) -> all.writeBytes(RecordFormat.sendRate(key, known)));
        RecordFormat.hashedIds(hashes.toArray()).forEach(all::writeBytes);
        completed.forEach((id, delivered) -> all.writeBytes(RecordFormat.completedId(id, delivered)));
        for (PendingMessage message : pending.values()) {
            all.writeBytes(RecordFormat.accepted(message));
            for (int i = 0; i < message.attempts.size(); i++) {
                all.writeBytes(RecordFormat.attempt(message, message.attempts.get(i)));
                if (message.attempts.get(i).neverRan) {
                    all.writeBytes(RecordFormat.neverRan(message, i));
                }
                if (message.attempts.get(i).waitsToBegin) {
                    all.writeBytes(RecordFormat.attemptState(RecordFormat.WAITS_TO_BEGIN, message, i));
                }
            }
            if (message.pendingNotice.isPresent()) {
                all.writeBytes(RecordFormat.answer(message, message.pendingNotice.get()));
            }
        }
        return all.toByteArray();
    }
}
