package slipfield.journal;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Optional;
import slipfield.log.Log;
import slipfield.policy.DeliveryPolicy;

/**
 * Reads the bytes of a journal into what they say. A record in which one bit is wrong is mended by its checksum; behind one
 * that can't be, reading goes on at the next whole record, and what the lost ones may have told counts as the worst: each
 * message held by then may have run.
 */
final class Replay {
    /** Clocks that differ by less were not set: they are read a moment apart. */
    private static final long SET_MS = 50;
    /** In place of an endpoint, for an attempt whose record can't be read. */
    private static final String UNKNOWN = "";

    private final Kept kept;
    /** This life's reckoning of time, or the file's own. */
    private final Optional<ProcessClock.Reference> clock;
    /** The latest time that a record has told, by this life's clock. */
    private long latestMs = Long.MIN_VALUE;
    /** What to add to the times of the records that are read. */
    private long shift;
    private int end;

    Replay(Kept kept, Optional<ProcessClock.Reference> clock) {
        this.kept = kept;
        this.clock = clock;
    }

    /** Where the last whole record ends. */
    int end() {
        return end;
    }

    /** Reads them; what is said of the journal that follows is in the kept state. */
    Journal.Replayed read(byte[] bytes) {
        long mended = 0;
        long lost = 0;
        long read = 0;
        Records records = new Records(bytes);
        while (records.next()) {
            if (records.skipped() > 0) {
                lost += records.skipped();
                mayHaveRun();
            }
            mended += records.mended() ? 1 : 0;
            read++;
            try {
                apply(new DataInputStream(new ByteArrayInputStream(bytes, records.from(), records.length())),
                        Form.HEAD + records.length());
            } catch (IOException | RuntimeException e) {
                lost += Form.HEAD + records.length();
                Log.error("journal.record_unknown", "at_byte", records.from(), "cause", e);
            }
            end = records.from() + records.length();
        }
        return new Journal.Replayed(read, mended, lost, bytes.length - end);
    }

    private void mayHaveRun() {
        for (PendingMessage held : kept.live.values()) {
            if (!held.finished) {
                // At the earliest that it may have been sent: a window counts from there.
                held.attempts.add(new PendingMessage.Attempt(UNKNOWN, Math.max(latestMs, 0)));
                kept.count(held, Kept.ATTEMPT_ROOM);
            }
        }
    }

    private long moved(long timeMs) {
        latestMs = Math.max(latestMs, timeMs + shift);
        return timeMs + shift;
    }

    private void apply(DataInputStream in, int length) throws IOException {
        int type = in.readByte();
        long number = in.readLong();
        switch (type) {
            case Form.HEALTH -> {
                String endpoint = in.readUTF();
                kept.health(endpoint, new Journal.Health(DeliveryPolicy.State.values()[in.readByte()], moved(number),
                        in.readDouble()),
                        length);
                return;
            }
            case Form.PACE -> {
                Journal.SendRateKey of = new Journal.SendRateKey(number, in.readUTF());
                double perMs = in.readDouble();
                in.readDouble();
                kept.pace(of, new DeliveryPolicy.SendRate(perMs, in.readDouble()), length);
                return;
            }
            case Form.OVER -> {
                kept.over(in.readUTF(), in.readBoolean());
                return;
            }
            case Form.CLOCK -> {
                ProcessClock.Reference written = new ProcessClock.Reference(number, in.readLong(), in.readLong());
                shift = clock.isEmpty() ? 0 : written.shiftTo(clock.get());
                shift = Math.abs(shift) < SET_MS ? 0 : shift;
                if (shift != 0) {
                    Log.warn("clock.moved", "by_ms", shift);
                }
                latestMs = Math.max(latestMs, number + shift);
                return;
            }
            default -> kept.used(number);
        }
        if (type == Form.TAKEN) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            PendingMessage held = new PendingMessage(number, id, messageClass, tenant,
                    keyed ? Optional.of(key) : Optional.empty(),
                    in.readLong(), in.readLong() + shift, in.readNBytes(in.readInt()));
            held.reserveMs = in.available() >= Integer.BYTES ? in.readInt() : 0;
            kept.live.put(number, held);
            kept.count(held, length);
            return;
        }
        PendingMessage held = kept.live.get(number);
        if (held == null) {
            return;
        }
        switch (type) {
            case Form.ATTEMPT -> held.attempts.add(new PendingMessage.Attempt(in.readUTF(), moved(in.readLong())));
            case Form.NEVER_RAN -> held.attempts.get(in.readInt()).neverRan = true;
            case Form.OWED -> {
                held.pendingNotice = Optional.of(new PendingMessage.Notice(in.readBoolean()
                        ? PendingMessage.FinalAnswer.REFUSED : PendingMessage.FinalAnswer.FAILED,
                        in.readDouble()));
                held.finished = true;
            }
            case Form.OWED_DELIVERED -> {
                held.pendingNotice = Optional.of(new PendingMessage.Notice(PendingMessage.FinalAnswer.DELIVERED, 0));
                held.recipients.removeIf(c -> !c.includesDeliveries());
                held.finished = true;
            }
            case Form.CLAIMED -> {
                if (in.readBoolean()) {
                    held.recipients.clear();
                }
                held.recipients.add(Form.claim(in));
            }
            case Form.HEARD -> held.recipients.remove(Form.claim(in));
            case Form.ENDED, Form.WITHDRAWN -> {
                kept.remove(held);
                if (type == Form.ENDED) {
                    kept.over(held.id, Journal.delivered(held));
                }
                return;
            }
            default -> throw new IOException("unknown record " + type);
        }
        kept.count(held, length);
    }
}
