package slipfield.journal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import slipfield.log.Log;
import slipfield.policy.DeliveryPolicy;
import slipfield.trace.Trace;

/**
 * What this sender has taken on, in a file that outlasts its process. Records are appended, each with its
 * length and checksum, and reach the system's cache before the step that they stand for: that survives any
 * end of the process, so nothing is forced to disk.
 *
 * <p>The folder never holds more than its bound: before an append would leave no room for a compacted copy
 * beside the file, the live records are written to a new file, which then takes the old one's place. New
 * messages are turned away while what is live, with the records that it may still need, fills half the bound.
 */
public final class Journal implements AutoCloseable {
    /** Files count in whole blocks: two files, and a block to spare. */
    private static final int BLOCKS = 3 * 512;

    /** How a file is opened; tests stand in for a disk that fails. */
    public interface Opener {
        FileChannel open(Path file, StandardOpenOption... options) throws IOException;
    }

    private final Opener opener;
    private final ProcessClock.Reference clock;
    private final Path file;
    private final Path next;
    private final long bound;
    private final Kept kept;
    private FileChannel channel;
    private long size;
    private final Replayed replayed;
    /** Records that are not in the file yet. */
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
    private boolean batching;
    /** Messages taken on in this batch: the number of each, and where its record ends in the batch. */
    private final Map<Long, Integer> batchTaken = new LinkedHashMap<>();
    /** Of the last batch that failed, the messages whose records are whole in the file: it could not be cut either. */
    private final Set<Long> recorded = new HashSet<>();
    /**
     * The file lacks what memory holds: records could not be written, which later ones count on, such as attempts by their
     * place. All is written anew before anything else is.
     */
    private boolean stale;
    /** Whether a stale file is written anew by {@link #repair} and {@link #flushBatch} alone, not by each record that comes. */
    private boolean repairedByOwner;
    /** Absent unless the sender is traced. */
    private Trace trace;

    public Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, ProcessClock.system().reference(), FileChannel::open);
    }

    /** Times of earlier lives are moved to this life's reckoning as they are read. */
    public Journal(Path folder, long diskBytes, int maxAttempts, ProcessClock.Reference clock, Opener opener) throws IOException {
        this.opener = opener;
        this.clock = clock;
        this.file = folder.resolve("journal");
        this.next = folder.resolve("journal.next");
        this.bound = diskBytes - BLOCKS;
        this.kept = new Kept(bound, maxAttempts);
        // A compaction that the process did not live to finish still takes up room.
        Files.deleteIfExists(next);
        channel = opener.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            Replay replay = new Replay(kept, Optional.of(clock));
            replayed = replay.read(Files.readAllBytes(file));
            size = replay.end();
            // A torn tail would hide all that is appended behind it.
            channel.truncate(size);
            channel.position(size);
        } catch (IOException e) {
            close();
            throw e;
        }
        tell(replayed);
        try {
            write(Form.clock(clock));
        } catch (IOException e) {
            // What is held has to be ended all the same; it is written with the rest when the disk works again.
            stale = true;
            Log.error("journal.write_failed", "cause", e);
        }
    }

    /** One that is only looked into: these bytes, by the reckoning of time that they were written in. */
    Journal(byte[] bytes) {
        opener = FileChannel::open;
        clock = null;
        file = null;
        next = null;
        bound = Long.MAX_VALUE;
        kept = new Kept(bound, 0);
        Replay replay = new Replay(kept, Optional.empty());
        replayed = replay.read(bytes);
        size = replay.end();
    }

    /** What was found at the start. */
    Replayed replayed() {
        return replayed;
    }

    /** Records read, those with a mended bit, bytes that can't be read in the middle, and at the end. */
    record Replayed(long records, long mended, long lost, long torn) {
    }

    /** What was held when the last process ended, in the order taken. */
    public List<PendingMessage> pendingMessages() {
        return new ArrayList<>(kept.live.values());
    }

    /** A number for the next message, above all that were used. */
    public long nextNumber() {
        return kept.nextNumber();
    }

    /** Takes a message on, or throws: then it must be refused. */
    public void recordAccepted(PendingMessage held) throws IOException {
        byte[] record = Form.taken(held);
        if (2 * kept.bytesWith(record.length) > bound) {
            throw new IOException("the journal has no room for another message");
        }
        append(held, record);
        kept.live.put(held.number, held);
        if (batching) {
            batchTaken.put(held.number, batch.size());
        }
    }

    /**
     * Whether the next life finds this message, though the batch that it was taken on in could not be written: then it must
     * not be refused.
     */
    public boolean isRecorded(PendingMessage held) {
        return recorded.contains(held.number);
    }

    /** An attempt is about to be made; it counts as one that may have run from here on. */
    public void recordAttempt(PendingMessage held, PendingMessage.Attempt attempt) throws IOException {
        append(held, Form.attempt(held, attempt));
        held.attempts.add(attempt);
    }

    /** An end proved that the attempt never ran; if this is lost, it counts as one that may have. */
    public void recordNeverRan(PendingMessage held, int attempt) throws IOException {
        held.attempts.get(attempt).neverRan = true;
        note(held, Form.neverRan(held, attempt));
    }

    /** The message has ended by a notice that is still to be heard. */
    public void recordAnswer(PendingMessage held, PendingMessage.Notice notice) throws IOException {
        held.pendingNotice = Optional.of(notice);
        note(held, Form.owed(held, notice));
    }

    /** One more has to hear of a held message's end. */
    public void recordRecipient(PendingMessage held, AnswerRecipient claim) throws IOException {
        append(held, Form.claimed(held, claim, false));
        held.recipients.add(claim);
    }

    /** A claimant has heard of the message's end, or asks for it no more; an end that all have heard is over. */
    public void recordAcknowledged(PendingMessage held, AnswerRecipient claim) throws IOException {
        held.recipients.remove(claim);
        if (held.recipients.isEmpty() && held.pendingNotice.isPresent()) {
            recordCompleted(held);
        } else {
            note(held, Form.heard(held, claim));
        }
    }

    /** Nothing more is owed for the message; its id is known for a while. */
    public void recordCompleted(PendingMessage held) throws IOException {
        // First: a compaction that its record causes has to tell of it, since there the record finds no message any more.
        kept.over(held.id, delivered(held));
        end(held, Form.ENDED);
    }

    static boolean delivered(PendingMessage held) {
        return held.pendingNotice.isEmpty() || held.pendingNotice.get().answer() == PendingMessage.FinalAnswer.DELIVERED;
    }

    /** The message was never taken on in its client's eyes, and its id means nothing. */
    public void recordWithdrawn(PendingMessage held) throws IOException {
        end(held, Form.WITHDRAWN);
    }

    private void end(PendingMessage held, int type) throws IOException {
        if (kept.remove(held)) {
            writeKnown(Form.end(type, held.number));
        }
    }

    /** Ids of messages that were over when the last process ended, the oldest first; true where delivered. */
    public Map<String, Boolean> completedIds() {
        return new LinkedHashMap<>(kept.over);
    }

    /** A destination, and one of its endpoints where these have limits of their own, else an empty name. */
    public record SendRateKey(long destination, String endpoint) {
    }

    /** A pace has changed; one that is unbounded takes up no room. */
    public void recordSendRate(SendRateKey of, DeliveryPolicy.SendRate now) throws IOException {
        byte[] record = Form.pace(of, now);
        kept.pace(of, now, record.length);
        writeKnown(record);
    }

    /** The paces that were known when the last process ended. */
    public Map<SendRateKey, DeliveryPolicy.SendRate> sendRates() {
        return new LinkedHashMap<>(kept.paces);
    }

    /** An endpoint's state, since when on the wall clock, and the rate that it carried before. */
    public record Health(DeliveryPolicy.State state, long sinceMs, double carriedPerMs) {
    }

    /** What is known of an endpoint has changed; one that is in service, or forgotten, takes up no room. */
    public void recordHealth(String endpoint, Health now) throws IOException {
        byte[] record = Form.health(endpoint, now);
        kept.health(endpoint, now, record.length);
        writeKnown(record);
    }

    /** What was known when the last process ended, of endpoints that were not in service. */
    public Map<String, Health> endpointHealth() {
        return new TreeMap<>(kept.health);
    }

    /** Bytes of the file now. */
    public long size() {
        return size;
    }

    @Override
    public void close() {
        close(channel);
    }

    private static void close(FileChannel file) {
        try {
            file.close();
        } catch (IOException e) {
            Log.warn("journal.close_failed", "cause", e);
        }
    }

    // ---- writing ----

    /** Nothing of it is so unless its record is written. */
    private void append(PendingMessage held, byte[] record) throws IOException {
        write(record);
        kept.count(held, record.length);
    }

    /** It is so, whether or not its record can be written now. */
    private void note(PendingMessage held, byte[] record) throws IOException {
        kept.count(held, record.length);
        writeKnown(record);
    }

    /** Writes what memory says already; where that fails, all is written anew as soon as it can be. */
    private void writeKnown(byte[] record) throws IOException {
        try {
            write(record);
        } catch (IOException e) {
            stale = true;
            throw e;
        }
    }

    /** Whether the file lacks what memory holds: what is not in it is unknown to the next life. */
    public boolean isStale() {
        return stale;
    }

    /**
     * From now on a record that comes while the file lacks something fails at once, and the owner calls {@link #repair}. Writing all
     * anew takes as long as the journal is large: not for each record while a disk goes on failing.
     */
    public void useExplicitRepair() {
        repairedByOwner = true;
    }

    /** Writes all anew if the file lacks anything. */
    public void repair() throws IOException {
        if (stale) {
            compact();
        }
    }

    /** Accounts for the writing of records from now on. */
    public void setTrace(Trace by) {
        trace = by;
    }

    private void write(byte[] record) throws IOException {
        if (trace == null) {
            writeRecord(record);
            return;
        }
        trace.enter(Trace.Part.JOURNAL);
        try {
            writeRecord(record);
        } finally {
            trace.leave();
        }
    }

    /** Records are collected from now on, until {@link #flushBatch}. */
    public void beginBatch() {
        batching = true;
    }

    /**
     * Writes what was collected, in one piece. If it throws, none of it is in the file: what it stood for must not be
     * done. What a compaction has meanwhile taken into the new file counts as written.
     */
    public void flushBatch() throws IOException {
        batching = false;
        if (batch.size() == 0) {
            return;
        }
        byte[] records = batch.toByteArray();
        Map<Long, Integer> taken = new LinkedHashMap<>(batchTaken);
        emptyBatch();
        recorded.clear();
        if (stale) {
            // They are in memory too; behind a torn record nothing may be appended.
            compact();
            return;
        }
        if (trace != null) {
            trace.enter(Trace.Part.JOURNAL);
        }
        try {
            writeAll(channel, records);
        } catch (IOException e) {
            size -= records.length;
            stale = true;
            if (e instanceof UncutWrite uncut) {
                taken.forEach((number, end) -> {
                    if (end <= uncut.written) {
                        recorded.add(number);
                    }
                });
            }
            throw e;
        } finally {
            if (trace != null) {
                trace.leave();
            }
        }
    }

    /** Drops what was collected: memory holds it, and the file is stale. */
    public void discardBatch() {
        batching = false;
        stale |= batch.size() > 0;
        emptyBatch();
    }

    private void emptyBatch() {
        batch.reset();
        batchTaken.clear();
    }

    private void writeRecord(byte[] record) throws IOException {
        if (stale && repairedByOwner) {
            throw new IOException("the journal can't be written for now");
        }
        if (stale || size + kept.bytes() + 2L * record.length > bound) {
            compact();
        }
        if (size + record.length > bound) {
            throw new IOException("the journal is full");
        }
        if (batching) {
            batch.writeBytes(record);
        } else {
            writeAll(channel, record);
        }
        size += record.length;
    }

    /** A write failed after a part of it, and the file could not be cut back: the part stays in it. */
    private static final class UncutWrite extends IOException {
        private static final long serialVersionUID = 1;
        private final int written;

        UncutWrite(IOException cause, int written) {
            super(cause.getMessage(), cause);
            this.written = written;
        }
    }

    /** A record that is written in part must not stay: all behind it would be lost at the next start. */
    private void writeAll(FileChannel to, byte[] bytes) throws IOException {
        long start = to.position();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            while (buffer.hasRemaining()) {
                to.write(buffer);
            }
        } catch (IOException e) {
            throw cut(to, start, e) ? e : new UncutWrite(e, buffer.position());
        }
    }

    /** Whether what stands behind {@code start} could be cut off. */
    private boolean cut(FileChannel to, long start, IOException cause) {
        try {
            to.truncate(start);
            return true;
        } catch (IOException e) {
            // Nothing may be written behind the torn record.
            stale = true;
            cause.addSuppressed(e);
            return false;
        }
    }

    private void compact() throws IOException {
        byte[] records = kept.records(clock);
        FileChannel fresh = opener.open(next, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(fresh, records);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            discard(fresh, e);
            throw e;
        }
        FileChannel replaced = channel;
        // From here on the old file is nobody's, whatever becomes of closing it.
        channel = fresh;
        size = records.length;
        // Whatever was collected is told by what is live.
        emptyBatch();
        stale = false;
        close(replaced);
    }

    /** The failure that is told is the one before. */
    private void discard(FileChannel fresh, IOException cause) {
        close(fresh);
        try {
            Files.deleteIfExists(next);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private void tell(Replayed found) {
        if (found.mended > 0) {
            Log.warn("journal.mended", "records", found.mended);
        }
        if (found.lost > 0) {
            Log.error("journal.lost", "bytes", found.lost, "may_have_run", kept.live.size());
        }
        if (found.torn > 0) {
            Log.warn("journal.torn", "bytes", found.torn);
        }
    }
}
