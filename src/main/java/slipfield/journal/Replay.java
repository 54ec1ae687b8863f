package slipfield.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Optional;
import slipfield.log.Log;
import slipfield.policy.DeliveryPolicy;

/**
 * Rebuilds the journal's state from the bytes of its file. A record with one wrong bit is corrected by its checksum. After a
 * record that can't be corrected, reading continues at the next whole record, and the worst is assumed of the lost ones: each
 * message that is pending at that point may have run.
 */
final class Replay {
    /** A smaller shift does not mean that the clock was set: wall clock and time since boot are read a moment apart. */
    private static final long MIN_SHIFT_MS = 50;
    /** Stands for the endpoint of an attempt whose record can't be read. */
    private static final String UNKNOWN_ENDPOINT = "";

    private final JournalState state;
    /** The clock to convert the file's times to; empty: the times stay as written. */
    private final Optional<ProcessClock.Reference> clock;
    /** The latest time in any record so far, by this process's clock. */
    private long latestMs = Long.MIN_VALUE;
    /** Milliseconds to add to the times of the records that are read. */
    private long shiftMs;
    private int end;

    Replay(JournalState state, Optional<ProcessClock.Reference> clock) {
        this.state = state;
        this.clock = clock;
    }

    /** Offset of the end of the last whole record. */
    int end() {
        return end;
    }

    /** Reads the records into the state, and counts them. */
    Journal.ReplayResult read(byte[] bytes) {
        long corrected = 0;
        long lost = 0;
        long read = 0;
        RecordScanner records = new RecordScanner(bytes);
        while (records.next()) {
            if (records.skipped() > 0) {
                lost += records.skipped();
                assumeAttempts();
            }
            corrected += records.corrected() ? 1 : 0;
            read++;
            try {
                apply(new DataInputStream(new ByteArrayInputStream(bytes, records.from(), records.length())),
                        RecordFormat.HEADER_BYTES + records.length());
            } catch (IOException | RuntimeException e) {
                lost += RecordFormat.HEADER_BYTES + records.length();
                Log.error("journal.record_unknown", "at_byte", records.from(), "cause", e);
            }
            end = records.from() + records.length();
        }
        return new Journal.ReplayResult(read, corrected, lost, bytes.length - end);
    }

    /** Adds an attempt that may have run to every message that may still be sent. */
    private void assumeAttempts() {
        for (PendingMessage message : state.pending.values()) {
            if (!message.finished) {
                // The earliest time at which the lost attempt can have been sent; deduplication windows count from it.
                message.attempts.add(new PendingMessage.Attempt(UNKNOWN_ENDPOINT, Math.max(latestMs, 0)));
                state.count(message, JournalState.ATTEMPT_BYTES);
            }
        }
    }

    /** Converts a time of the file to this process's clock. */
    private long converted(long timeMs) {
        latestMs = Math.max(latestMs, timeMs + shiftMs);
        return timeMs + shiftMs;
    }

    private void apply(DataInputStream in, int length) throws IOException {
        int type = in.readByte();
        long number = in.readLong();
        switch (type) {
            case RecordFormat.HEALTH -> {
                String endpoint = in.readUTF();
                state.health(endpoint, new Journal.Health(DeliveryPolicy.State.values()[in.readByte()], converted(number),
                        in.readDouble()), length);
                return;
            }
            case RecordFormat.DESTINATION_HEALTH -> {
                long destination = in.readLong();
                long since = converted(in.readLong());
                state.destinationHealth(destination,
                        new Journal.Health(DeliveryPolicy.State.values()[in.readByte()], since, in.readDouble()), length);
                return;
            }
            case RecordFormat.SEND_RATE -> {
                Journal.SendRateKey key = new Journal.SendRateKey(number, in.readUTF());
                double perMs = in.readDouble();
                in.readDouble();
                state.sendRate(key, new DeliveryPolicy.SendRate(perMs, in.readDouble()), length);
                return;
            }
            case RecordFormat.COMPLETED_ID -> {
                state.completed(in.readUTF(), in.readBoolean());
                return;
            }
            case RecordFormat.HASHED_IDS -> {
                for (int left = in.readInt(); left > 0; left--) {
                    state.hashed(in.readLong());
                }
                return;
            }
            case RecordFormat.WAITS_TO_BEGIN, RecordFormat.BEGINS -> {
                PendingMessage message = state.pending.get(in.readLong());
                if (message != null) {
                    state.setWaitsToBegin(message, in.readInt(), type == RecordFormat.WAITS_TO_BEGIN);
                }
                return;
            }
            case RecordFormat.CLOCK -> {
                ProcessClock.Reference written = new ProcessClock.Reference(number, in.readLong(), in.readLong());
                shiftMs = clock.isEmpty() ? 0 : written.shiftTo(clock.get());
                shiftMs = Math.abs(shiftMs) < MIN_SHIFT_MS ? 0 : shiftMs;
                if (shiftMs != 0) {
                    Log.warn("clock.moved", "by_ms", shiftMs);
                }
                latestMs = Math.max(latestMs, number + shiftMs);
                return;
            }
            default -> state.markUsed(number);
        }
        if (type == RecordFormat.ACCEPTED) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean hasKey = in.readBoolean();
            String key = in.readUTF();
            PendingMessage message = new PendingMessage(number, id, messageClass, tenant,
                    hasKey ? Optional.of(key) : Optional.empty(),
                    in.readLong(), in.readLong() + shiftMs, in.readNBytes(in.readInt()));
            message.reserveMs = in.available() >= Integer.BYTES ? in.readInt() : 0;
            state.pending.put(number, message);
            state.count(message, length);
            return;
        }
        PendingMessage message = state.pending.get(number);
        if (message == null) {
            return;
        }
        switch (type) {
            case RecordFormat.ATTEMPT -> message.attempts.add(new PendingMessage.Attempt(in.readUTF(), converted(in.readLong())));
            case RecordFormat.NEVER_RAN -> state.setNeverRan(message, in.readInt());
            case RecordFormat.UNDELIVERED -> {
                message.pendingNotice = Optional.of(new PendingMessage.Notice(in.readBoolean()
                        ? PendingMessage.FinalAnswer.REFUSED : PendingMessage.FinalAnswer.FAILED,
                        in.readDouble()));
                message.finished = true;
            }
            case RecordFormat.DELIVERED -> {
                message.pendingNotice = Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
                message.recipients.removeIf(c -> !c.includesDeliveries());
                message.finished = true;
            }
            case RecordFormat.RECIPIENT -> {
                if (in.readBoolean()) {
                    message.recipients.clear();
                }
                message.recipients.add(RecordFormat.readRecipient(in));
            }
            case RecordFormat.ACKNOWLEDGED -> message.recipients.remove(RecordFormat.readRecipient(in));
            case RecordFormat.COMPLETED, RecordFormat.WITHDRAWN -> {
                state.remove(message);
                if (type == RecordFormat.COMPLETED) {
                    state.completed(message.id, message.wasDelivered());
                }
                return;
            }
            default -> throw new IOException("unknown record type " + type);
        }
        state.count(message, length);
    }
}
