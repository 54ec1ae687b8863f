package slipfield.journal;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import slipfield.policy.DeliveryPolicy;

/**
 * The binary format of the journal's records: the body's length (4 bytes), its checksum (8 bytes), and the body, which begins
 * with the record's type (1 byte) and a number (8 bytes), for most types that of the message.
 */
final class RecordFormat {
    static final int ACCEPTED = 1;
    static final int ATTEMPT = 2;
    static final int NEVER_RAN = 3;
    /** A refusal or failure that a recipient has yet to acknowledge. */
    static final int UNDELIVERED = 4;
    /** Every recipient has acknowledged the final answer; the message's id is kept for a while. */
    static final int COMPLETED = 5;
    static final int HEALTH = 6;
    /** A message that nobody expects an answer to; its id is forgotten. */
    static final int WITHDRAWN = 7;
    /** The id of a completed message, in a compacted file. */
    static final int COMPLETED_ID = 8;
    static final int SEND_RATE = 9;
    /** The clock by which the times in the records after this one were read. */
    static final int CLOCK = 10;
    /** A recipient of the message's final answer besides the platform, or in place of it. */
    static final int RECIPIENT = 11;
    /** One recipient has acknowledged the final answer, or no longer wants it; others have yet to. */
    static final int ACKNOWLEDGED = 12;
    /** A delivery that a recipient has yet to acknowledge. */
    static final int DELIVERED = 13;
    /** The health of a destination as a whole. */
    static final int DESTINATION_HEALTH = 14;
    /** Completed messages by hashes of their ids, in a compacted file. */
    static final int HASHED_IDS = 15;
    /** An attempt, recorded before, waits to begin; older versions take it for one that may have run. */
    static final int WAITS_TO_BEGIN = 16;
    /** An attempt that waited is about to begin. */
    static final int BEGINS = 17;
    /** A damaged record loses its ids, and a larger one takes longer to be corrected. */
    private static final int HASHES_PER_RECORD = 4096;
    /** The number in records of types that older versions do not know: no message has it, so that they ignore these records. */
    private static final long NO_MESSAGE = -1;
    /** Bytes of the length and the checksum. */
    static final int HEADER_BYTES = 12;
    /** Longest body in bytes; a greater length is taken for torn or foreign data. */
    static final int MAX_BODY_BYTES = 1 << 20;

    private RecordFormat() {
    }

    private interface BodyWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(BodyWriter body) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(0);
            out.writeLong(0);
            body.write(out);
            byte[] record = bytes.toByteArray();
            ByteBuffer.wrap(record).putInt(record.length - HEADER_BYTES)
                    .putLong(checksum(record, HEADER_BYTES, record.length - HEADER_BYTES));
            return record;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }

    private static byte[] acceptedOnly(PendingMessage message) {
        return record(out -> {
            out.writeByte(ACCEPTED);
            out.writeLong(message.number);
            out.writeUTF(message.id);
            out.writeUTF(message.messageClass);
            out.writeUTF(message.tenant);
            out.writeBoolean(message.key.isPresent());
            out.writeUTF(message.key.orElse(""));
            out.writeLong(message.destination);
            out.writeLong(message.deadlineMs);
            out.writeInt(message.body.length);
            out.write(message.body);
            // Older versions of the format end here, and their readers ignore the rest.
            out.writeInt(message.reserveMs);
        });
    }

    /**
     * The message and its recipients, to be written in one piece: if the recipients were cut off, only the platform would
     * receive the answer.
     */
    static byte[] accepted(PendingMessage message) {
        byte[] accepted = acceptedOnly(message);
        if (message.recipients.equals(List.of(AnswerRecipient.PLATFORM))) {
            return accepted;
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream(accepted.length + 64);
        all.writeBytes(accepted);
        if (message.recipients.isEmpty()) {
            all.writeBytes(acknowledged(message, AnswerRecipient.PLATFORM));
        }
        for (int i = 0; i < message.recipients.size(); i++) {
            all.writeBytes(recipient(message, message.recipients.get(i), i == 0));
        }
        return all.toByteArray();
    }

    /** {@code replacesPlatform}: removes the platform, which receives every answer by default. */
    static byte[] recipient(PendingMessage message, AnswerRecipient recipient, boolean replacesPlatform) {
        return record(out -> {
            out.writeByte(RECIPIENT);
            out.writeLong(message.number);
            out.writeBoolean(replacesPlatform);
            write(recipient, out);
        });
    }

    static byte[] acknowledged(PendingMessage message, AnswerRecipient recipient) {
        return record(out -> {
            out.writeByte(ACKNOWLEDGED);
            out.writeLong(message.number);
            write(recipient, out);
        });
    }

    private static void write(AnswerRecipient recipient, DataOutputStream out) throws IOException {
        out.writeUTF(recipient.channel());
        out.writeUTF(recipient.peer());
        out.writeBoolean(recipient.includesDeliveries());
        out.writeBoolean(recipient.keepsAnswers());
    }

    static AnswerRecipient readRecipient(DataInputStream in) throws IOException {
        return new AnswerRecipient(in.readUTF(), in.readUTF(), in.readBoolean(), in.readBoolean());
    }

    static byte[] attempt(PendingMessage message, PendingMessage.Attempt attempt) {
        return record(out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(message.number);
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentAtMs);
        });
    }

    static byte[] neverRan(PendingMessage message, int attempt) {
        return record(out -> {
            out.writeByte(NEVER_RAN);
            out.writeLong(message.number);
            out.writeInt(attempt);
        });
    }

    /** {@code type}: {@link #WAITS_TO_BEGIN} or {@link #BEGINS}. */
    static byte[] attemptState(int type, PendingMessage message, int attempt) {
        return record(out -> {
            out.writeByte(type);
            out.writeLong(NO_MESSAGE);
            out.writeLong(message.number);
            out.writeInt(attempt);
        });
    }

    static byte[] answer(PendingMessage message, PendingMessage.Notice notice) {
        return record(out -> {
            boolean delivered = notice.answer() == PendingMessage.FinalAnswer.DELIVERED;
            out.writeByte(delivered ? DELIVERED : UNDELIVERED);
            out.writeLong(message.number);
            if (!delivered) {
                out.writeBoolean(notice.answer() == PendingMessage.FinalAnswer.REFUSED);
                out.writeDouble(notice.waitMs());
            }
        });
    }

    static byte[] health(String endpoint, Journal.Health health) {
        return record(out -> {
            out.writeByte(HEALTH);
            // In the place where other records have a message's number.
            out.writeLong(health.sinceMs());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.carriedPerMs());
        });
    }

    static byte[] destinationHealth(long destination, Journal.Health health) {
        return record(out -> {
            out.writeByte(DESTINATION_HEALTH);
            out.writeLong(NO_MESSAGE);
            out.writeLong(destination);
            out.writeLong(health.sinceMs());
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.carriedPerMs());
        });
    }

    static byte[] sendRate(Journal.SendRateKey key, DeliveryPolicy.SendRate rate) {
        return record(out -> {
            out.writeByte(SEND_RATE);
            out.writeLong(key.destination());
            out.writeUTF(key.endpoint());
            out.writeDouble(rate.perMs());
            // Older versions of the format held a figure here that is no longer read.
            out.writeDouble(0);
            out.writeDouble(rate.reportedPerMs());
        });
    }

    static byte[] completedId(String id, boolean delivered) {
        return record(out -> {
            out.writeByte(COMPLETED_ID);
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        });
    }

    /** The entries of {@link IdHash} in as many records as they need, in their order. */
    static List<byte[]> hashedIds(long[] entries) {
        List<byte[]> records = new ArrayList<>();
        for (int from = 0; from < entries.length; from += HASHES_PER_RECORD) {
            long[] part = Arrays.copyOfRange(entries, from, Math.min(entries.length, from + HASHES_PER_RECORD));
            records.add(record(out -> {
                out.writeByte(HASHED_IDS);
                out.writeLong(NO_MESSAGE);
                out.writeInt(part.length);
                for (long entry : part) {
                    out.writeLong(entry);
                }
            }));
        }
        return records;
    }

    static byte[] clock(ProcessClock.Reference clock) {
        return record(out -> {
            out.writeByte(CLOCK);
            out.writeLong(clock.wallMs());
            out.writeLong(clock.monoMs());
            out.writeLong(clock.boot());
        });
    }

    /** A record of a type that holds the message's number and no more. */
    static byte[] numberOnly(int type, long number) {
        return record(out -> {
            out.writeByte(type);
            out.writeLong(number);
        });
    }
}
