package slipfield.journal;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32;
import slipfield.policy.DeliveryPolicy;

/** The records of a journal as bytes: length, checksum, type, and what each type holds. */
final class Form {
    static final int TAKEN = 1;
    static final int ATTEMPT = 2;
    static final int NEVER_RAN = 3;
    static final int OWED = 4;
    static final int ENDED = 5;
    static final int HEALTH = 6;
    /** A message that nobody is owed an end of; its id is forgotten. */
    static final int WITHDRAWN = 7;
    /** The id of a message that is over, in a compacted file. */
    static final int OVER = 8;
    static final int PACE = 9;
    /** The reckoning of time of the records behind it. */
    static final int CLOCK = 10;
    /** Somebody else than the platform, or besides it, has to hear of a message's end. */
    static final int CLAIMED = 11;
    /** A claimant has heard of it; others have not yet. */
    static final int HEARD = 12;
    /** A delivery that a claimant still has to hear of. */
    static final int OWED_DELIVERED = 13;
    /** Length and checksum. */
    static final int HEAD = 12;
    /** Longest record that is believed: a longer one is a torn or foreign length. */
    static final int LONGEST = 1 << 20;

    private Form() {
    }

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

    static long checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return crc.getValue();
    }

    private static byte[] takenAlone(PendingMessage held) {
        return record(out -> {
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
            // Earlier forms end here, and their readers look no further.
            out.writeInt(held.reserveMs);
        });
    }

    /** In one piece: a message whose claim were cut off would be told to the platform alone. */
    static byte[] taken(PendingMessage held) {
        byte[] taken = takenAlone(held);
        if (held.recipients.equals(List.of(AnswerRecipient.PLATFORM))) {
            return taken;
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream(taken.length + 64);
        all.writeBytes(taken);
        if (held.recipients.isEmpty()) {
            all.writeBytes(heard(held, AnswerRecipient.PLATFORM));
        }
        for (int i = 0; i < held.recipients.size(); i++) {
            all.writeBytes(claimed(held, held.recipients.get(i), i == 0));
        }
        return all.toByteArray();
    }

    /** {@code alone}: in place of the platform, which else has to hear of each message. */
    static byte[] claimed(PendingMessage held, AnswerRecipient claim, boolean alone) {
        return record(out -> {
            out.writeByte(CLAIMED);
            out.writeLong(held.number);
            out.writeBoolean(alone);
            write(claim, out);
        });
    }

    static byte[] heard(PendingMessage held, AnswerRecipient claim) {
        return record(out -> {
            out.writeByte(HEARD);
            out.writeLong(held.number);
            write(claim, out);
        });
    }

    private static void write(AnswerRecipient claim, DataOutputStream out) throws IOException {
        out.writeUTF(claim.channel());
        out.writeUTF(claim.peer());
        out.writeBoolean(claim.includesDeliveries());
        out.writeBoolean(claim.keepsAnswers());
    }

    static AnswerRecipient claim(DataInputStream in) throws IOException {
        return new AnswerRecipient(in.readUTF(), in.readUTF(), in.readBoolean(), in.readBoolean());
    }

    static byte[] attempt(PendingMessage held, PendingMessage.Attempt attempt) {
        return record(out -> {
            out.writeByte(ATTEMPT);
            out.writeLong(held.number);
            out.writeUTF(attempt.endpoint);
            out.writeLong(attempt.sentAtMs);
        });
    }

    static byte[] neverRan(PendingMessage held, int attempt) {
        return record(out -> {
            out.writeByte(NEVER_RAN);
            out.writeLong(held.number);
            out.writeInt(attempt);
        });
    }

    static byte[] owed(PendingMessage held, PendingMessage.Notice notice) {
        return record(out -> {
            boolean delivered = notice.answer() == PendingMessage.FinalAnswer.DELIVERED;
            out.writeByte(delivered ? OWED_DELIVERED : OWED);
            out.writeLong(held.number);
            if (!delivered) {
                out.writeBoolean(notice.answer() == PendingMessage.FinalAnswer.REFUSED);
                out.writeDouble(notice.waitMs());
            }
        });
    }

    static byte[] health(String endpoint, Journal.Health health) {
        return record(out -> {
            out.writeByte(HEALTH);
            // Where the other records have a message's number.
            out.writeLong(health.sinceMs());
            out.writeUTF(endpoint);
            out.writeByte(health.state().ordinal());
            out.writeDouble(health.carriedPerMs());
        });
    }

    static byte[] pace(Journal.SendRateKey of, DeliveryPolicy.SendRate pace) {
        return record(out -> {
            out.writeByte(PACE);
            out.writeLong(of.destination());
            out.writeUTF(of.endpoint());
            out.writeDouble(pace.perMs());
            // Earlier forms held a figure here that nothing reads any more.
            out.writeDouble(0);
            out.writeDouble(pace.reportedPerMs());
        });
    }

    static byte[] over(String id, boolean delivered) {
        return record(out -> {
            out.writeByte(OVER);
            out.writeLong(0);
            out.writeUTF(id);
            out.writeBoolean(delivered);
        });
    }

    static byte[] clock(ProcessClock.Reference clock) {
        return record(out -> {
            out.writeByte(CLOCK);
            out.writeLong(clock.wallMs());
            out.writeLong(clock.monoMs());
            out.writeLong(clock.boot());
        });
    }

    /** An end of a type that has no more to say than whose it is. */
    static byte[] end(int type, long number) {
        return record(out -> {
            out.writeByte(type);
            out.writeLong(number);
        });
    }
}
