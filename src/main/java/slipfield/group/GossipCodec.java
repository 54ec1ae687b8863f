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
 * Encodes and decodes gossip messages, {@value #MAX_BYTES} bytes at most: two magic bytes, then version, kind, sender, sequence
 * and target, then sections (a type byte, a length byte and that number of bytes), then a CRC-32 of everything before it.
 * Numbers are big-endian.
 *
 * <p>A reader skips sections of unknown types and accepts every version whose header it can read, so that old and new senders
 * understand each other. Datagrams that are truncated, damaged, of another format, or that name an unknown sender or target are
 * rejected.
 */
public final class GossipCodec {
    /** The longest datagram that the platform carries. */
    public static final int MAX_BYTES = 256;
    private static final int MAGIC = 0x5F1D;
    static final int VERSION = 1;
    private static final int RUMORS_SECTION = 1;
    private static final int HEADER_BYTES = 2 + 1 + 1 + 2 + 4 + 2;
    private static final int SECTION_HEADER_BYTES = 2;
    private static final int RUMOR_BYTES = 2 + 1 + 4;
    private static final int CHECKSUM_BYTES = 4;
    private static final long MASK = 0xFFFFFFFFL;

    private GossipCodec() {
    }

    /** Encodes a message. Rumors that don't fit are left out, from the end. */
    public static byte[] write(GossipMessage message) {
        int rumors = Math.min(message.rumors().size(), GossipMessage.MAX_RUMORS);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + SECTION_HEADER_BYTES + rumors * RUMOR_BYTES + CHECKSUM_BYTES);
        out.putShort((short) MAGIC).put((byte) VERSION).put((byte) message.kind().ordinal()).putShort((short) message.from())
                .putInt((int) message.sequence()).putShort((short) message.target());
        out.put((byte) RUMORS_SECTION).put((byte) (rumors * RUMOR_BYTES));
        for (MembershipRumor rumor : message.rumors().subList(0, rumors)) {
            out.putShort((short) rumor.member()).put((byte) rumor.state().ordinal()).putInt((int) rumor.incarnation());
        }
        return out.putInt((int) checksum(out.array(), out.position())).array();
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return crc.getValue();
    }

    /** Decodes a datagram in a group of {@code members} members; empty if it is not a valid message of that group. */
    public static Optional<GossipMessage> read(byte[] bytes, int members) {
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES || bytes.length > MAX_BYTES) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int end = bytes.length - CHECKSUM_BYTES;
        if ((in.getShort() & 0xFFFF) != MAGIC || (in.getInt(end) & MASK) != checksum(bytes, end)) {
            return Optional.empty();
        }
        int version = in.get() & 0xFF;
        int kind = in.get() & 0xFF;
        int from = in.getShort() & 0xFFFF;
        long sequence = in.getInt() & MASK;
        int target = in.getShort() & 0xFFFF;
        if (version == 0 || kind >= GossipMessage.Kind.values().length || from >= members || target >= members) {
            return Optional.empty();
        }
        List<MembershipRumor> rumors = new ArrayList<>();
        while (in.position() < end) {
            if (end - in.position() < SECTION_HEADER_BYTES) {
                return Optional.empty();
            }
            int type = in.get() & 0xFF;
            int length = in.get() & 0xFF;
            if (length > end - in.position() || type == RUMORS_SECTION && length % RUMOR_BYTES != 0) {
                return Optional.empty();
            }
            int next = in.position() + length;
            while (type == RUMORS_SECTION && in.position() < next) {
                int member = in.getShort() & 0xFFFF;
                int state = in.get() & 0xFF;
                long incarnation = in.getInt() & MASK;
                if (member < members && state < MemberState.values().length) {
                    rumors.add(new MembershipRumor(member, MemberState.values()[state], incarnation));
                }
            }
            in.position(next);
        }
        return Optional.of(new GossipMessage(GossipMessage.Kind.values()[kind], from, sequence, target, rumors));
    }
}
