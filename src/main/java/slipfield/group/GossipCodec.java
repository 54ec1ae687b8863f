package slipfield.group;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import slipfield.group.decide.GossipMessage;
import slipfield.group.decide.MemberState;
import slipfield.group.decide.MembershipRumor;

/**
 * A note as bytes, {@value #MAX_BYTES} at most: two octets that say whose form this is, the version, the kind, sender, round, target,
 * then sections (a type, a length, that many octets), then a CRC-32 of all before it. A reader passes over sections that it does
 * not know, and takes any version whose first part it knows: so old and new senders read one another. What is cut, damaged, of
 * another make, or names a member that there is not, is no note. Numbers are big-endian.
 */
public final class GossipCodec {
    /** The longest that the platform carries. */
    public static final int MAX_BYTES = 256;
    private static final int MAKE = 0x5F1D;
    static final int VERSION = 1;
    private static final int WORDS = 1;
    private static final int HEAD = 2 + 1 + 1 + 2 + 4 + 2;
    private static final int SECTION_HEAD = 2;
    private static final int WORD = 2 + 1 + 4;
    private static final int CHECK = 4;
    private static final long MASK = 0xFFFFFFFFL;

    private GossipCodec() {
    }

    /** Writes a note; words that don't fit are left out from the end. */
    public static byte[] write(GossipMessage note) {
        int words = Math.min(note.rumors().size(), GossipMessage.MAX_RUMORS);
        ByteBuffer out = ByteBuffer.allocate(HEAD + SECTION_HEAD + words * WORD + CHECK);
        out.putShort((short) MAKE).put((byte) VERSION).put((byte) note.kind().ordinal()).putShort((short) note.from())
                .putInt((int) note.round()).putShort((short) note.target());
        out.put((byte) WORDS).put((byte) (words * WORD));
        for (MembershipRumor rumor : note.rumors().subList(0, words)) {
            out.putShort((short) rumor.member()).put((byte) rumor.state().ordinal()).putInt((int) rumor.incarnation());
        }
        return out.putInt((int) checksum(out.array(), out.position())).array();
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return crc.getValue();
    }

    /** Reads what came, of a group of so many members; empty if it is no note of theirs. */
    public static Optional<GossipMessage> read(byte[] bytes, int members) {
        if (bytes.length < HEAD + CHECK || bytes.length > MAX_BYTES) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int end = bytes.length - CHECK;
        if ((in.getShort() & 0xFFFF) != MAKE || (in.getInt(end) & MASK) != checksum(bytes, end)) {
            return Optional.empty();
        }
        int version = in.get() & 0xFF;
        int kind = in.get() & 0xFF;
        int from = in.getShort() & 0xFFFF;
        long round = in.getInt() & MASK;
        int target = in.getShort() & 0xFFFF;
        if (version == 0 || kind >= GossipMessage.Kind.values().length || from >= members || target >= members) {
            return Optional.empty();
        }
        List<MembershipRumor> words = new ArrayList<>();
        while (in.position() < end) {
            if (end - in.position() < SECTION_HEAD) {
                return Optional.empty();
            }
            int type = in.get() & 0xFF;
            int length = in.get() & 0xFF;
            if (length > end - in.position() || type == WORDS && length % WORD != 0) {
                return Optional.empty();
            }
            int next = in.position() + length;
            while (type == WORDS && in.position() < next) {
                int member = in.getShort() & 0xFFFF;
                int standing = in.get() & 0xFF;
                long incarnation = in.getInt() & MASK;
                if (member < members && standing < MemberState.values().length) {
                    words.add(new MembershipRumor(member, MemberState.values()[standing], incarnation));
                }
            }
            in.position(next);
        }
        return Optional.of(new GossipMessage(GossipMessage.Kind.values()[kind], from, round, target, words));
    }
}
