package slipfield.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.CRC32;
import slipfield.log.Log;
import slipfield.policy.Relay;
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
    private static final int TAKEN = 1;
    private static final int ATTEMPT = 2;
    private static final int NEVER_RAN = 3;
    private static final int OWED = 4;
    private static final int ENDED = 5;
    private static final int HEALTH = 6;
    /** A message that nobody is owed an end of; its id is forgotten. */
    private static final int WITHDRAWN = 7;
    /** The id of a message that is over, in a compacted file. */
    private static final int OVER = 8;
    private static final int PACE = 9;
    /** The reckoning of time of the records behind it. */
    private static final int CLOCK = 10;
    /** Somebody else than the platform, or besides it, has to hear of a message's end. */
    private static final int CLAIMED = 11;
    /** A claimant has heard of it; others have not yet. */
    private static final int HEARD = 12;
    /** A delivery that a claimant still has to hear of. */
    private static final int OWED_DELIVERED = 13;
    /** Length and checksum. */
    public static final int HEAD = 12;
    /** Longest record that is believed: a longer one is a torn or foreign length. */
    public static final int LONGEST = 1 << 20;
    /** Room for the later records of a message: for each attempt, and for its end. */
    private static final int ATTEMPT_ROOM = 128;
    private static final int END_ROOM = 64;
    /** Files count in whole blocks: two files, and a block to spare. */
    private static final int BLOCKS = 3 * 512;
    /** Part of the bound for ids that are over. */
    private static final int OVER_PART = 32;
    /** Clocks that differ by less were not set: they are read a moment apart. */
    private static final long SET_MS = 50;
    /** In place of an endpoint, for an attempt whose record can't be read. */
    private static final String UNKNOWN = "";

    /** How a file is opened; tests stand in for a disk that fails. */
    public interface Opener {
        FileChannel open(Path file, StandardOpenOption... options) throws IOException;
    }

    private final Opener opener;
    private final LifeClock.Mark clock;
    private final Path file;
    private final Path next;
    private final long bound;
    private final long messageRoom;
    private final Map<Long, Held> live = new TreeMap<>();
    /** What the module last knew of endpoints that are not in service. */
    private final Map<String, Health> health = new TreeMap<>();
    private final Map<PaceOf, Relay.Pace> paces = new LinkedHashMap<>();
    /** Ids of messages that are over, the newest last, and whether they were delivered. */
    private final Map<String, Boolean> over = new LinkedHashMap<>();
    private long overBytes;
    private FileChannel channel;
    private long size;
    private long liveBytes;
    private long numbers;
    private Replayed replayed;
    /** Records that are not in the file yet. */
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
    private boolean batching;
    /** Records were lost that later ones count on, such as attempts by their place: all is written anew first. */
    private boolean stale;
    /** Absent unless the sender is traced. */
    private Trace trace;

    public Journal(Path folder, long diskBytes, int maxAttempts) throws IOException {
        this(folder, diskBytes, maxAttempts, LifeClock.system().mark(), FileChannel::open);
    }

    /** Times of earlier lives are moved to this life's reckoning as they are read. */
    public Journal(Path folder, long diskBytes, int maxAttempts, LifeClock.Mark clock, Opener opener) throws IOException {
        this.opener = opener;
        this.clock = clock;
        this.file = folder.resolve("journal");
        this.next = folder.resolve("journal.next");
        this.bound = diskBytes - BLOCKS;
        this.messageRoom = (long) maxAttempts * ATTEMPT_ROOM + END_ROOM;
        // A compaction that the process did not live to finish still takes up room.
        Files.deleteIfExists(next);
        channel = opener.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        size = replay(Files.readAllBytes(file));
        // A torn tail would hide all that is appended behind it.
        channel.truncate(size);
        channel.position(size);
        try {
            write(record(clockRecord()));
        } catch (IOException e) {
            // What is held has to be ended all the same; only a clock that is set meanwhile is not seen.
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
        messageRoom = 0;
        size = replay(bytes);
    }

    /** What was found at the start. */
    Replayed replayed() {
        return replayed;
    }

    /** Records read, those with a mended bit, bytes that can't be read in the middle, and at the end. */
    record Replayed(long records, long mended, long lost, long torn) {
    }

    /** What was held when the last process ended, in the order taken. */
    public List<Held> held() {
        return new ArrayList<>(live.values());
    }

    /** A number for the next message, above all that were used. */
    public long nextNumber() {
        return numbers++;
    }

    /** Takes a message on, or throws: then it must be refused. */
    public void taken(Held held) throws IOException {
        byte[] record = takenRecords(held);
        long needed = liveBytes + record.length + messageRoom * (live.size() + 1L);
        if (2 * needed > bound) {
            throw new IOException("the journal has no room for another message");
        }
        append(held, record);
        live.put(held.number, held);
    }

    /** An attempt is about to be made; it counts as one that may have run from here on. */
    public void attempt(Held held, Held.Attempt attempt) throws IOException {
        append(held, record(attemptRecord(held, attempt)));
        held.attempts.add(attempt);
    }

    /** An end proved that the attempt never ran; if this is lost, it counts as one that may have. */
    public void neverRan(Held held, int attempt) throws IOException {
        held.attempts.get(attempt).neverRan = true;
        append(held, record(neverRanRecord(held, attempt)));
    }

    /** The message has ended by a notice that is still to be heard. */
    public void owed(Held held, Held.Notice notice) throws IOException {
        held.owed = Optional.of(notice);
        append(held, record(owedRecord(held, notice)));
    }

    /** One more has to hear of a held message's end. */
    public void claimed(Held held, Claim claim) throws IOException {
        append(held, record(claimedRecord(held, claim, false)));
        held.claims.add(claim);
    }

    /** A claimant has heard of the message's end, or asks for it no more; an end that all have heard is over. */
    public void heard(Held held, Claim claim) throws IOException {
        held.claims.remove(claim);
        if (held.claims.isEmpty() && held.owed.isPresent()) {
            ended(held);
        } else {
            append(held, record(heardRecord(held, claim)));
        }
    }

    /** Nothing more is owed for the message; its id is known for a while. */
    public void ended(Held held) throws IOException {
        end(held, ENDED);
        known(held.id, delivered(held));
    }

    private static boolean delivered(Held held) {
        return held.owed.isEmpty() || held.owed.get().end() == Held.End.DELIVERED;
    }

    /** The message was never taken on in its client's eyes, and its id means nothing. */
    public void withdrawn(Held held) throws IOException {
        end(held, WITHDRAWN);
    }

    private void end(Held held, int type) throws IOException {
        if (live.remove(held.number) != null) {
            liveBytes -= held.bytes;
            write(record(out -> {
                out.writeByte(type);
                out.writeLong(held.number);
            }));
        }
    }

    /** Ids of messages that were over when the last process ended, the oldest first; true where delivered. */
    public Map<String, Boolean> over() {
        return new LinkedHashMap<>(over);
    }

    private void known(String id, boolean delivered) {
        if (over.put(id, delivered) == null) {
            count(overRoom(id));
        }
        Iterator<String> eldest = over.keySet().iterator();
        while (overBytes > bound / OVER_PART) {
            count(-overRoom(eldest.next()));
            eldest.remove();
        }
    }

    private void count(int bytes) {
        overBytes += bytes;
        liveBytes += bytes;
    }

    /** Bytes of its record, at the most. */
    private static int overRoom(String id) {
        return HEAD + 12 + 3 * id.length();
    }

    /** A destination, and one of its endpoints where these have limits of their own, else an empty name. */
    public record PaceOf(long destination, String route) {
    }

    /** A pace has changed; one that is unbounded takes up no room. */
    public void pace(PaceOf of, Relay.Pace now) throws IOException {
        byte[] record = record(paceRecord(of, now));
        write(record);
        keep(of, now, record.length);
    }

    /** The paces that were known when the last process ended. */
    public Map<PaceOf, Relay.Pace> paces() {
        return new LinkedHashMap<>(paces);
    }

    private void keep(PaceOf of, Relay.Pace now, int bytes) {
        boolean before = paces.remove(of) != null;
        boolean stays = now.perMs() < Double.POSITIVE_INFINITY;
        if (stays) {
            paces.put(of, now);
        }
        liveBytes += (stays ? bytes : 0) - (before ? bytes : 0);
    }

    /** An endpoint's state, since when on the wall clock, and the rate that it carried before. */
    public record Health(Relay.State state, long sinceMs, double carriedPerMs) {
    }

    /** What is known of an endpoint has changed; one that is in service, or forgotten, takes up no room. */
    public void health(String endpoint, Health now) throws IOException {
        byte[] record = record(healthRecord(endpoint, now));
        write(record);
        keep(endpoint, now, record.length);
    }

    /** What was known when the last process ended, of endpoints that were not in service. */
    public Map<String, Health> health() {
        return new TreeMap<>(health);
    }

    private void keep(String endpoint, Health now, int bytes) {
        boolean before = health.remove(endpoint) != null;
        if (now.state() != Relay.State.UP) {
            health.put(endpoint, now);
        }
        liveBytes += (health.containsKey(endpoint) ? bytes : 0) - (before ? bytes : 0);
    }

    /** Bytes of the file now. */
    public long size() {
        return size;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            Log.warn("journal.close_failed", "cause", e);
        }
    }

    // ---- writing ----

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(Body body) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            body.write(out);
            byte[] record = bytes.toByteArray();
            ByteBuffer.wrap(record).putInt(record.length - HEAD)
                    .putLong(checksum(record, HEAD, record.length - HEAD));
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }

    private static Body takenRecord(Held held) {
        return out -> {
            out.writeByte(TAKEN);
            out.writeLong(held.number);
            out.writeUTF(held.id);
            out.writeUTF(held.messageClass);
            out.writeUTF(held.tenant);
            out.writeBoolean(held.key.isPresent());
            out.writeUTF(held.key.orElse(""));
            out.writeLong(held.destination);
            out.writeLong(held.deadlineMs);
            out.writeInt(held.body.length);
            out.write(held.body);
        };
    }

    /** In one piece: a message whose claim were cut off would be told to the platform alone. */
    private static byte[] takenRecords(Held held) {
        byte[] taken = record(takenRecord(held));
        if (held.claims.equals(List.of(Claim.PLATFORM))) {
            return taken;
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream(taken.length + 64);
        all.writeBytes(taken);
        if (held.claims.isEmpty()) {
            all.writeBytes(record(heardRecord(held, Claim.PLATFORM)));
        }
        for (int i = 0; i < held.claims.size(); i++) {
            all.writeBytes(record(claimedRecord(held, held.claims.get(i), i == 0)));
        }
        return all.toByteArray();
    }

    /** {@code alone}: in place of the platform, which else has to hear of each message. */
    private static Body claimedRecord(Held held, Claim claim, boolean alone) {
        return out -> {
            out.writeByte(CLAIMED);
            out.writeLong(held.number);
            out.writeBoolean(alone);
            write(claim, out);
        };
    }

    private static Body heardRecord(Held held, Claim claim) {
        return out -> {
            out.writeByte(HEARD);
            out.writeLong(held.number);
            write(claim, out);
        };
    }

    private static void write(Claim claim, DataOutputStream out) throws IOException {
        out.writeUTF(claim.outcome());
        out.writeUTF(claim.peer());
        out.writeBoolean(claim.delivered());
        out.writeBoolean(claim.keep());
    }

    private static Claim claim(DataInputStream in) throws IOException {
        return new Claim(in.readUTF(), in.readUTF(), in.readBoolean(), in.readBoolean());
    }

    private static Body attemptRecord(Held held, Held.Attempt attempt) {
        return out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(held.number);
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentAtMs);
        };
    }

    private static Body neverRanRecord(Held held, int attempt) {
        return out -> {
            out.writeByte(NEVER_RAN);
            out.writeLong(held.number);
            out.writeInt(attempt);
        };
    }

    private static Body owedRecord(Held held, Held.Notice notice) {
        return out -> {
            boolean delivered = notice.end() == Held.End.DELIVERED;
            out.writeByte(delivered ? OWED_DELIVERED : OWED);
            out.writeLong(held.number);
            if (!delivered) {
                out.writeBoolean(notice.end() == Held.End.REFUSED);
                out.writeDouble(notice.waitMs());
            }
        };
    }

    private static Body healthRecord(String endpoint, Health health) {
        return out -> {
            out.writeByte(HEALTH);
            // Where the other records have a message's number.
            out.writeLong(health.sinceMs());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.carriedPerMs());
        };
    }

    private static Body paceRecord(PaceOf of, Relay.Pace pace) {
        return out -> {
            out.writeByte(PACE);
            out.writeLong(of.destination());
            out.writeUTF(of.route());
            out.writeDouble(pace.perMs());
            out.writeDouble(pace.edgePerMs());
            out.writeDouble(pace.toldPerMs());
        };
    }

    private static Body overRecord(String id, boolean delivered) {
        return out -> {
            out.writeByte(OVER);
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        };
    }

    private Body clockRecord() {
        return out -> {
            out.writeByte(CLOCK);
            out.writeLong(clock.wallMs());
            out.writeLong(clock.monoMs());
            out.writeLong(clock.boot());
        };
    }

    private void append(Held held, byte[] record) throws IOException {
        write(record);
        held.bytes += record.length;
        liveBytes += record.length;
    }

    /** Accounts for the writing of records from now on. */
    public void traced(Trace by) {
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

    /** Records are collected from now on, until {@link #flush}. */
    public void begin() {
        batching = true;
    }

    /**
     * Writes what was collected, in one piece. If it throws, none of it is in the file: what it stood for must not be
     * done. What a compaction has meanwhile taken into the new file counts as written.
     */
    public void flush() throws IOException {
        batching = false;
        if (batch.size() == 0) {
            return;
        }
        byte[] records = batch.toByteArray();
        batch.reset();
        if (trace != null) {
            trace.enter(Trace.Part.JOURNAL);
        }
        try {
            writeAll(channel, records);
        } catch (IOException e) {
            size -= records.length;
            stale = true;
            throw e;
        } finally {
            if (trace != null) {
                trace.leave();
            }
        }
    }

    private void writeRecord(byte[] record) throws IOException {
        if (stale || size + liveBytes + 2L * record.length > bound) {
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

    /** A record that is written in part must not stay: all behind it would be lost at the next start. */
    private void writeAll(FileChannel to, byte[] bytes) throws IOException {
        long start = to.position();
        try {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                to.write(buffer);
            }
        } catch (IOException e) {
            to.truncate(start);
            throw e;
        }
    }

    private void compact() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) liveBytes);
        bytes.write(record(clockRecord()));
        for (Map.Entry<String, Health> known : health.entrySet()) {
            bytes.write(record(healthRecord(known.getKey(), known.getValue())));
        }
        for (Map.Entry<PaceOf, Relay.Pace> known : paces.entrySet()) {
            bytes.write(record(paceRecord(known.getKey(), known.getValue())));
        }
        for (Map.Entry<String, Boolean> known : over.entrySet()) {
            bytes.write(record(overRecord(known.getKey(), known.getValue())));
        }
        for (Held held : live.values()) {
            bytes.write(takenRecords(held));
            for (int i = 0; i < held.attempts.size(); i++) {
                bytes.write(record(attemptRecord(held, held.attempts.get(i))));
                if (held.attempts.get(i).neverRan) {
                    bytes.write(record(neverRanRecord(held, i)));
                }
            }
            if (held.owed.isPresent()) {
                bytes.write(record(owedRecord(held, held.owed.get())));
            }
        }
        FileChannel fresh = opener.open(next, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            writeAll(fresh, bytes.toByteArray());
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(next);
            throw e;
        }
        channel.close();
        channel = fresh;
        size = bytes.size();
        // Whatever was collected is told by what is live.
        batch.reset();
        stale = false;
    }

    // ---- reading ----

    /**
     * Reads what is whole. A record in which one bit is wrong is mended by its checksum; behind one that can't
     * be, reading goes on at the next whole record, and what the lost ones may have told counts as the worst:
     * each message held by then may have run. Returns where the last whole record ends.
     */
    private long replay(byte[] bytes) {
        int end = 0;
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
                        HEAD + records.length());
            } catch (IOException | RuntimeException e) {
                lost += HEAD + records.length();
                Log.error("journal.record_unknown", "at_byte", records.from(), "cause", e);
            }
            end = records.from() + records.length();
        }
        replayed = new Replayed(read, mended, lost, bytes.length - end);
        if (clock != null) {
            tell(replayed);
        }
        return end;
    }

    private void tell(Replayed found) {
        if (found.mended > 0) {
            Log.warn("journal.mended", "records", found.mended);
        }
        if (found.lost > 0) {
            Log.error("journal.lost", "bytes", found.lost, "may_have_run", live.size());
        }
        if (found.torn > 0) {
            Log.warn("journal.torn", "bytes", found.torn);
        }
    }

    /** The latest time that a record has told, by this life's clock. */
    private long latestMs = Long.MIN_VALUE;
    /** What to add to the times of the records that are read. */
    private long shift;

    private void mayHaveRun() {
        for (Held held : live.values()) {
            if (!held.over) {
                // At the earliest that it may have been sent: a window counts from there.
                held.attempts.add(new Held.Attempt(UNKNOWN, Math.max(latestMs, 0)));
                held.bytes += ATTEMPT_ROOM;
                liveBytes += ATTEMPT_ROOM;
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
            case HEALTH -> {
                String endpoint = in.readUTF();
                keep(endpoint, new Health(Relay.State.values()[in.readByte()], moved(number), in.readDouble()),
                        length);
                return;
            }
            case PACE -> {
                PaceOf of = new PaceOf(number, in.readUTF());
                keep(of, new Relay.Pace(in.readDouble(), in.readDouble(), in.readDouble()), length);
                return;
            }
            case OVER -> {
                known(in.readUTF(), in.readBoolean());
                return;
            }
            case CLOCK -> {
                LifeClock.Mark written = new LifeClock.Mark(number, in.readLong(), in.readLong());
                shift = clock == null ? 0 : written.shiftTo(clock);
                shift = Math.abs(shift) < SET_MS ? 0 : shift;
                if (shift != 0) {
                    Log.warn("clock.moved", "by_ms", shift);
                }
                latestMs = Math.max(latestMs, number + shift);
                return;
            }
            default -> numbers = Math.max(numbers, number + 1);
        }
        if (type == TAKEN) {
            String id = in.readUTF();
            String messageClass = in.readUTF();
            String tenant = in.readUTF();
            boolean keyed = in.readBoolean();
            String key = in.readUTF();
            Held held = new Held(number, id, messageClass, tenant, keyed ? Optional.of(key) : Optional.empty(),
                    in.readLong(), in.readLong() + shift, in.readNBytes(in.readInt()));
            live.put(number, held);
            count(held, length);
            return;
        }
        Held held = live.get(number);
        if (held == null) {
            return;
        }
        switch (type) {
            case ATTEMPT -> held.attempts.add(new Held.Attempt(in.readUTF(), moved(in.readLong())));
            case NEVER_RAN -> held.attempts.get(in.readInt()).neverRan = true;
            case OWED -> {
                held.owed = Optional.of(new Held.Notice(in.readBoolean() ? Held.End.REFUSED : Held.End.FAILED,
                        in.readDouble()));
                held.over = true;
            }
            case OWED_DELIVERED -> {
                held.owed = Optional.of(new Held.Notice(Held.End.DELIVERED, 0));
                held.claims.removeIf(c -> !c.delivered());
                held.over = true;
            }
            case CLAIMED -> {
                if (in.readBoolean()) {
                    held.claims.clear();
                }
                held.claims.add(claim(in));
            }
            case HEARD -> held.claims.remove(claim(in));
            case ENDED, WITHDRAWN -> {
                live.remove(number);
                liveBytes -= held.bytes;
                if (type == ENDED) {
                    known(held.id, delivered(held));
                }
                return;
            }
            default -> throw new IOException("unknown record " + type);
        }
        count(held, length);
    }

    private void count(Held held, int length) {
        held.bytes += length;
        liveBytes += length;
    }
}
