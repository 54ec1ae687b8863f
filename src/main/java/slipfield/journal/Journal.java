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
 * The messages that this sender has accepted, in a file that survives the process. Records are appended, each with its length
 * and checksum, and written to the operating system's page cache before the step that they record is taken. The page cache
 * survives any end of the process, so nothing is forced to disk.
 *
 * <p>The folder never holds more than its bound: before an append would leave no room for a compacted copy beside the file,
 * the records of the current state are written to a new file, which then replaces the old one. New messages are refused while
 * the current state, with the records that its messages may still need, takes up half the bound.
 */
public final class Journal implements AutoCloseable {
    private static final int DEFAULT_KNOWN_IDS = 4096;
    /** Disk usage counts whole blocks of 512 bytes: up to one more for each of the two files, and one in reserve. */
    private static final int BLOCK_RESERVE = 3 * 512;

    /** Opens the journal's files; tests replace it to simulate a failing disk. */
    public interface Opener {
        FileChannel open(Path file, StandardOpenOption... options) throws IOException;
    }

    private final Opener opener;
    private final ProcessClock.Reference clock;
    private final Path file;
    private final Path next;
    private final long bound;
    private final JournalState state;
    private FileChannel channel;
    private long size;
    private final ReplayResult replayed;
    /** Records that are not in the file yet. */
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
    private boolean batching;
    /** Messages accepted in this batch: the number of each, and the offset of its record's end in the batch. */
    private final Map<Long, Integer> batchAccepted = new LinkedHashMap<>();
    /** Messages of the last failed batch whose records are whole in the file, because it could not be truncated either. */
    private final Set<Long> recorded = new HashSet<>();
    /**
     * The file lacks records that could not be written and that later ones depend on, such as attempts, which are numbered by
     * their order. The whole file is rewritten before anything else is written.
     */
    private boolean stale;
    /** Only {@link #repair} and {@link #flushBatch} rewrite a stale file, not every further record. */
    private boolean explicitRepair;
    /** Null unless the sender is traced. */
    private Trace trace;

    public Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, ProcessClock.system().reference(), FileChannel::open);
    }

    /** The same with the number of completed messages' ids that is kept by default, 4,096. */
    public Journal(Path folder, long diskBytes, int maxAttempts, ProcessClock.Reference clock, Opener opener) throws IOException {
        this(folder, diskBytes, maxAttempts, DEFAULT_KNOWN_IDS, clock, opener);
    }

    /**
     * Reads the folder's journal, or creates it. Times that earlier processes wrote are converted to this process's clock.
     *
     * @param diskBytes greatest size of the folder in bytes
     * @param knownIds how many ids of completed messages are kept, if the folder's size allows it; see {@link #keptIds}
     * @throws IOException if the file can't be opened, read or truncated
     */
    public Journal(Path folder, long diskBytes, int maxAttempts, int knownIds, ProcessClock.Reference clock, Opener opener)
            throws IOException {
        this.opener = opener;
        this.clock = clock;
        this.file = folder.resolve("journal");
        this.next = folder.resolve("journal.next");
        this.bound = diskBytes - BLOCK_RESERVE;
        this.state = new JournalState(bound, maxAttempts, knownIds);
        // The file of a compaction that an earlier process did not finish still takes up room.
        Files.deleteIfExists(next);
        channel = opener.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            Replay replay = new Replay(state, Optional.of(clock));
            replayed = replay.read(Files.readAllBytes(file));
            size = replay.end();
            // Records that are appended after a torn tail would not be found again.
            channel.truncate(size);
            channel.position(size);
        } catch (IOException e) {
            close();
            throw e;
        }
        log(replayed);
        try {
            write(RecordFormat.clock(clock));
        } catch (IOException e) {
            // Pending messages still need their final answers; this record is written with the rest when the disk works again.
            stale = true;
            Log.error("journal.write_failed", "cause", e);
        }
    }

    /** A read-only journal of these bytes, for display; its times stay on the clocks that they were read by. */
    Journal(byte[] bytes) {
        opener = FileChannel::open;
        clock = null;
        file = null;
        next = null;
        bound = Long.MAX_VALUE;
        state = new JournalState(bound, 0, Integer.MAX_VALUE);
        Replay replay = new Replay(state, Optional.empty());
        replayed = replay.read(bytes);
        size = replay.end();
    }

    /** What was found in the file at the start. */
    ReplayResult replayed() {
        return replayed;
    }

    /** Records read, corrected records among them, unreadable bytes in the middle, and bytes torn off at the end. */
    record ReplayResult(long records, long corrected, long lost, long torn) {
    }

    /** The messages that were pending when the last process ended, in the order accepted. */
    public List<PendingMessage> pendingMessages() {
        return new ArrayList<>(state.pending.values());
    }

    /** The number for the next message, greater than every number used before. */
    public long nextNumber() {
        return state.nextNumber();
    }

    /** Records an accepted message. If this throws, the message has to be refused. */
    public void recordAccepted(PendingMessage message) throws IOException {
        byte[] record = RecordFormat.accepted(message);
        if (2 * state.bytesWith(record.length) > bound) {
            throw new IOException("the journal has no room for another message");
        }
        append(message, record);
        state.pending.put(message.number, message);
        if (batching) {
            batchAccepted.put(message.number, batch.size());
        }
    }

    /**
     * Whether the process after a restart will find this message although its batch could not be written. Such a message must
     * not be refused.
     */
    public boolean isRecorded(PendingMessage message) {
        return recorded.contains(message.number);
    }

    /** Records an attempt that is about to be made; from now on it counts as one that may have run, unless it waits to begin. */
    public void recordAttempt(PendingMessage message, PendingMessage.Attempt attempt) throws IOException {
        append(message, RecordFormat.attempt(message, attempt));
        message.attempts.add(attempt);
    }

    /** Records that the attempt's end proved that it never ran; if this record is lost, it counts as one that may have run. */
    public void recordNeverRan(PendingMessage message, int attempt) throws IOException {
        state.setNeverRan(message, attempt);
        note(message, RecordFormat.neverRan(message, attempt));
    }

    /**
     * Records that an attempt waits to begin: not one byte of it is written before {@link #recordBegins}. If this record is lost, it
     * counts as one that may have run.
     */
    public void recordWaitsToBegin(PendingMessage message, int attempt) throws IOException {
        state.setWaitsToBegin(message, attempt, true);
        writeApplied(RecordFormat.attemptState(RecordFormat.WAITS_TO_BEGIN, message, attempt));
    }

    /** Records that an attempt which waited is about to begin. If this throws, it must not begin. */
    public void recordBegins(PendingMessage message, int attempt) throws IOException {
        state.setWaitsToBegin(message, attempt, false);
        writeApplied(RecordFormat.attemptState(RecordFormat.BEGINS, message, attempt));
    }

    /** Records the message's final answer, which recipients have yet to acknowledge. */
    public void recordAnswer(PendingMessage message, PendingMessage.Notice notice) throws IOException {
        message.pendingNotice = Optional.of(notice);
        note(message, RecordFormat.answer(message, notice));
    }

    /** Records a further recipient of a pending message's final answer. */
    public void recordRecipient(PendingMessage message, AnswerRecipient recipient) throws IOException {
        append(message, RecordFormat.recipient(message, recipient, false));
        message.recipients.add(recipient);
    }

    /**
     * Records that a recipient acknowledged the final answer, or no longer wants it; the message is completed when every
     * recipient has acknowledged its answer.
     */
    public void recordAcknowledged(PendingMessage message, AnswerRecipient recipient) throws IOException {
        message.recipients.remove(recipient);
        if (message.recipients.isEmpty() && message.pendingNotice.isPresent()) {
            recordCompleted(message);
        } else {
            note(message, RecordFormat.acknowledged(message, recipient));
        }
    }

    /** Records that nobody has to receive an answer to the message any more; its id is kept for a while. */
    public void recordCompleted(PendingMessage message) throws IOException {
        // First, because writing the record may compact the file: the message itself is not in the new file, so its id has to be.
        state.completed(message.id, message.wasDelivered());
        remove(message, RecordFormat.COMPLETED);
    }

    /** Records that the client was never told of the message's acceptance; its id is forgotten. */
    public void recordWithdrawn(PendingMessage message) throws IOException {
        remove(message, RecordFormat.WITHDRAWN);
    }

    private void remove(PendingMessage message, int type) throws IOException {
        if (state.remove(message)) {
            writeApplied(RecordFormat.numberOnly(type, message.number));
        }
    }

    /** The number of completed messages whose ids are kept at least, if so many were completed. */
    public int keptIds() {
        return state.hashes.capacity();
    }

    /** Messages that were completed when the last process ended, before those of {@link #completedIds}. */
    public HashedIds hashedIds() {
        return new HashedIds(state.hashes.toArray());
    }

    /** Ids of messages that were completed last when the last process ended, the oldest first; true where delivered. */
    public Map<String, Boolean> completedIds() {
        return new LinkedHashMap<>(state.completed);
    }

    /** A destination, and one of its endpoints where each endpoint has a limit of its own; otherwise an empty name. */
    public record SendRateKey(long destination, String endpoint) {
    }

    /** Records a changed send rate; an unbounded one is removed from the state. */
    public void recordSendRate(SendRateKey key, DeliveryPolicy.SendRate now) throws IOException {
        byte[] record = RecordFormat.sendRate(key, now);
        state.sendRate(key, now, record.length);
        writeApplied(record);
    }

    /** The send rates that were known when the last process ended. */
    public Map<SendRateKey, DeliveryPolicy.SendRate> sendRates() {
        return new LinkedHashMap<>(state.sendRates);
    }

    /** An endpoint's state, the wall time since when it is in that state, and the rate per ms that it carried before. */
    public record Health(DeliveryPolicy.State state, long sinceMs, double carriedPerMs) {
    }

    /** Records an endpoint's changed health; an endpoint that is in service, or forgotten, is removed from the state. */
    public void recordHealth(String endpoint, Health now) throws IOException {
        byte[] record = RecordFormat.health(endpoint, now);
        state.health(endpoint, now, record.length);
        writeApplied(record);
    }

    /** The health of the endpoints that were not in service when the last process ended. */
    public Map<String, Health> endpointHealth() {
        return new TreeMap<>(state.health);
    }

    /** Records the changed health of a destination as a whole; one that is in service is removed from the state. */
    public void recordDestinationHealth(long destination, Health now) throws IOException {
        byte[] record = RecordFormat.destinationHealth(destination, now);
        state.destinationHealth(destination, now, record.length);
        writeApplied(record);
    }

    /** The health of the destinations that were not in service as a whole when the last process ended. */
    public Map<Long, Health> destinationHealth() {
        return new TreeMap<>(state.destinationHealth);
    }

    /** Size of the file in bytes, records of the current batch included. */
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

    /** Writes a record of a step that must not be taken if this throws. */
    private void append(PendingMessage message, byte[] record) throws IOException {
        write(record);
        state.count(message, record.length);
    }

    /** Writes a record of something that has happened, whether or not the record can be written now. */
    private void note(PendingMessage message, byte[] record) throws IOException {
        state.count(message, record.length);
        writeApplied(record);
    }

    /** Writes a record that the state already contains; if that fails, the file is stale until it is rewritten. */
    private void writeApplied(byte[] record) throws IOException {
        try {
            write(record);
        } catch (IOException e) {
            stale = true;
            throw e;
        }
    }

    /** Whether the file lacks part of the state, which the process after a restart would then not know. */
    public boolean isStale() {
        return stale;
    }

    /**
     * From now on every record fails at once while the file is stale, and the caller has to call {@link #repair}. Rewriting the
     * file takes time in proportion to its size, too long to try for each record while a disk keeps failing.
     */
    public void useExplicitRepair() {
        explicitRepair = true;
    }

    /** Rewrites the file if it is stale. */
    public void repair() throws IOException {
        if (stale) {
            compact();
        }
    }

    /** From now on the time for writing records is counted in this trace. */
    public void setTrace(Trace newTrace) {
        trace = newTrace;
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

    /** Collects records from now on, until {@link #flushBatch} or {@link #discardBatch}. */
    public void beginBatch() {
        batching = true;
    }

    /**
     * Writes the collected records in one piece. If this throws, the file is stale and the steps that the records stand for must
     * not be taken, except for messages of which {@link #isRecorded} is true. Records that a compaction has meanwhile written to
     * the new file count as written.
     */
    public void flushBatch() throws IOException {
        batching = false;
        if (batch.size() == 0) {
            return;
        }
        byte[] records = batch.toByteArray();
        Map<Long, Integer> accepted = new LinkedHashMap<>(batchAccepted);
        clearBatch();
        recorded.clear();
        if (stale) {
            // The records are part of the state too. Nothing may be appended after a torn record.
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
            if (e instanceof UntruncatedWrite partial) {
                accepted.forEach((number, end) -> {
                    if (end <= partial.written) {
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

    /** Drops the collected records: the state contains them, and the file is stale if there were any. */
    public void discardBatch() {
        batching = false;
        stale |= batch.size() > 0;
        clearBatch();
    }

    private void clearBatch() {
        batch.reset();
        batchAccepted.clear();
    }

    private void writeRecord(byte[] record) throws IOException {
        if (stale && explicitRepair) {
            throw new IOException("the journal can't be written until it is repaired");
        }
        if (stale || size + state.bytes() + 2L * record.length > bound) {
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

    /** A write failed after part of its bytes, and truncating failed too: the part stays in the file. */
    private static final class UntruncatedWrite extends IOException {
        private static final long serialVersionUID = 1;
        private final int written;

        UntruncatedWrite(IOException cause, int written) {
            super(cause.getMessage(), cause);
            this.written = written;
        }
    }

    /** Writes all of the bytes. A partial record is truncated after a failure: a restart would lose the records after it. */
    private void writeAll(FileChannel to, byte[] bytes) throws IOException {
        long start = to.position();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            while (buffer.hasRemaining()) {
                to.write(buffer);
            }
        } catch (IOException e) {
            throw truncated(to, start, e) ? e : new UntruncatedWrite(e, buffer.position());
        }
    }

    /** Truncates the file to {@code start}; false if that failed. */
    private boolean truncated(FileChannel to, long start, IOException cause) {
        try {
            to.truncate(start);
            return true;
        } catch (IOException e) {
            // Nothing may be written after the partial record.
            stale = true;
            cause.addSuppressed(e);
            return false;
        }
    }

    private void compact() throws IOException {
        byte[] records = state.records(clock);
        FileChannel fresh = opener.open(next, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(fresh, records);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            deleteNext(fresh, e);
            throw e;
        }
        FileChannel replaced = channel;
        // From here on the old file is no longer used, even if closing it fails.
        channel = fresh;
        size = records.length;
        // The new file contains the state that the collected records led to.
        clearBatch();
        stale = false;
        close(replaced);
    }

    /** Removes the unfinished file; a failure to do so is added to the cause. */
    private void deleteNext(FileChannel fresh, IOException cause) {
        close(fresh);
        try {
            Files.deleteIfExists(next);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private void log(ReplayResult found) {
        if (found.corrected > 0) {
            Log.warn("journal.mended", "records", found.corrected);
        }
        if (found.lost > 0) {
            Log.error("journal.lost", "bytes", found.lost, "may_have_run", state.pending.size());
        }
        if (found.torn > 0) {
            Log.warn("journal.torn", "bytes", found.torn);
        }
    }
}
