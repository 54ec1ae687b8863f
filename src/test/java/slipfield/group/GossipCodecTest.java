package slipfield.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import slipfield.group.decide.GossipMessage;
import slipfield.group.decide.MemberState;
import slipfield.group.decide.MembershipRumor;

class GossipCodecTest {
    private static final int MEMBERS = 300;

    private static GossipMessage message(long seed, int rumors) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<MembershipRumor> list = new ArrayList<>();
        for (int i = 0; i < rumors; i++) {
            list.add(new MembershipRumor(random.nextInt(MEMBERS), MemberState.values()[random.nextInt(4)],
                    random.nextLong(1L << 32)));
        }
        return new GossipMessage(GossipMessage.Kind.values()[random.nextInt(4)], random.nextInt(MEMBERS),
                random.nextLong(1L << 32), random.nextInt(MEMBERS), list);
    }

    @Property(tries = 500)
    void anEncodedMessageDecodesToTheSame(@ForAll long seed, @ForAll @IntRange(max = 60) int rumors) {
        GossipMessage message = message(seed, rumors);
        byte[] bytes = GossipCodec.write(message);
        assertTrue(bytes.length <= GossipCodec.MAX_BYTES);
        GossipMessage read = GossipCodec.read(bytes, MEMBERS).orElseThrow();
        assertEquals(message.rumors().subList(0, Math.min(rumors, GossipMessage.MAX_RUMORS)), read.rumors());
        assertEquals(new GossipMessage(message.kind(), message.from(), message.sequence(), message.target(), List.of()),
                new GossipMessage(read.kind(), read.from(), read.sequence(), read.target(), List.of()));
    }

    /** Truncated anywhere, or with any bit flipped, it is rejected. */
    @Property(tries = 300)
    void aDamagedMessageIsRejected(@ForAll long seed, @ForAll @IntRange(max = 30) int rumors,
            @ForAll @IntRange(max = 2047) int bit) {
        byte[] bytes = GossipCodec.write(message(seed, rumors));
        assertEquals(Optional.empty(), GossipCodec.read(Arrays.copyOf(bytes, bit % bytes.length), MEMBERS));
        int at = bit % (8 * bytes.length);
        bytes[at / 8] ^= (byte) (1 << at % 8);
        assertEquals(Optional.empty(), GossipCodec.read(bytes, MEMBERS));
    }

    @Property(tries = 2000)
    void arbitraryBytesDecodeToNothingOrToAValidSender(@ForAll @Size(max = 300) byte[] bytes) {
        GossipCodec.read(bytes, MEMBERS).ifPresent(message -> assertTrue(message.from() < MEMBERS));
    }

    /** An unknown section of a later version is skipped. A section that claims to be longer than the message is rejected. */
    @Property(tries = 100)
    void unknownSectionsOfALaterVersionAreSkipped(@ForAll long seed, @ForAll @IntRange(max = 10) int rumors,
            @ForAll @IntRange(max = 60) int more) {
        GossipMessage message = message(seed, rumors);
        byte[] bytes = GossipCodec.write(message);
        byte[] longer = signed(ByteBuffer.allocate(bytes.length + 2 + more).put(bytes, 0, bytes.length - 4).put((byte) 9)
                .put((byte) more).array());
        longer[2] = GossipCodec.VERSION + 1;
        assertEquals(message.rumors(), GossipCodec.read(signed(longer), MEMBERS).orElseThrow().rumors());
        longer[bytes.length - 3] = (byte) (more + 1);
        assertEquals(Optional.empty(), GossipCodec.read(signed(longer), MEMBERS));
    }

    private static byte[] signed(byte[] message) {
        CRC32 crc = new CRC32();
        crc.update(message, 0, message.length - 4);
        ByteBuffer.wrap(message).putInt(message.length - 4, (int) crc.getValue());
        return message;
    }

    /** A rumor about an unknown member is skipped, and a message from or about an unknown member is rejected. */
    @Property(tries = 100)
    void unknownMembersAreNotNamed(@ForAll long seed) {
        GossipMessage message = message(seed, 10);
        byte[] bytes = GossipCodec.write(message);
        Optional<GossipMessage> read = GossipCodec.read(bytes, 100);
        assertEquals(message.from() < 100 && message.target() < 100, read.isPresent());
        read.ifPresent(n -> assertTrue(n.rumors().stream().allMatch(r -> r.member() < 100)));
    }
}
