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

    private static GossipMessage note(long seed, int words) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<MembershipRumor> said = new ArrayList<>();
        for (int i = 0; i < words; i++) {
            said.add(new MembershipRumor(random.nextInt(MEMBERS), MemberState.values()[random.nextInt(4)], random.nextLong(1L << 32)));
        }
        return new GossipMessage(GossipMessage.Kind.values()[random.nextInt(4)], random.nextInt(MEMBERS), random.nextLong(1L << 32),
                random.nextInt(MEMBERS), said);
    }

    @Property(tries = 500)
    void whatIsWrittenIsRead(@ForAll long seed, @ForAll @IntRange(max = 60) int words) {
        GossipMessage note = note(seed, words);
        byte[] bytes = GossipCodec.write(note);
        assertTrue(bytes.length <= GossipCodec.MAX_BYTES);
        GossipMessage read = GossipCodec.read(bytes, MEMBERS).orElseThrow();
        assertEquals(note.rumors().subList(0, Math.min(words, GossipMessage.MAX_RUMORS)), read.rumors());
        assertEquals(new GossipMessage(note.kind(), note.from(), note.round(), note.target(), List.of()),
                new GossipMessage(read.kind(), read.from(), read.round(), read.target(), List.of()));
    }

    /** Cut anywhere, or with any bit turned, it is no note. */
    @Property(tries = 300)
    void whatIsDamagedIsNone(@ForAll long seed, @ForAll @IntRange(max = 30) int words, @ForAll @IntRange(max = 2047) int bit) {
        byte[] bytes = GossipCodec.write(note(seed, words));
        assertEquals(Optional.empty(), GossipCodec.read(Arrays.copyOf(bytes, bit % bytes.length), MEMBERS));
        int at = bit % (8 * bytes.length);
        bytes[at / 8] ^= (byte) (1 << at % 8);
        assertEquals(Optional.empty(), GossipCodec.read(bytes, MEMBERS));
    }

    @Property(tries = 2000)
    void anythingElseIsNone(@ForAll @Size(max = 300) byte[] bytes) {
        GossipCodec.read(bytes, MEMBERS).ifPresent(note -> assertTrue(note.from() < MEMBERS));
    }

    /** A section of a later version goes between, and the rest is read; one that says it is longer than the note is none. */
    @Property(tries = 100)
    void aLaterVersionIsReadAsFarAsItIsKnown(@ForAll long seed, @ForAll @IntRange(max = 10) int words,
            @ForAll @IntRange(max = 60) int more) {
        GossipMessage note = note(seed, words);
        byte[] bytes = GossipCodec.write(note);
        byte[] longer = signed(ByteBuffer.allocate(bytes.length + 2 + more).put(bytes, 0, bytes.length - 4).put((byte) 9)
                .put((byte) more).array());
        longer[2] = GossipCodec.VERSION + 1;
        assertEquals(note.rumors(), GossipCodec.read(signed(longer), MEMBERS).orElseThrow().rumors());
        longer[bytes.length - 3] = (byte) (more + 1);
        assertEquals(Optional.empty(), GossipCodec.read(signed(longer), MEMBERS));
    }

    private static byte[] signed(byte[] note) {
        CRC32 crc = new CRC32();
        crc.update(note, 0, note.length - 4);
        ByteBuffer.wrap(note).putInt(note.length - 4, (int) crc.getValue());
        return note;
    }

    /** A member that there is not is passed over, and a sender that there is not makes it none. */
    @Property(tries = 100)
    void whoIsNotThereIsNotNamed(@ForAll long seed) {
        GossipMessage note = note(seed, 10);
        byte[] bytes = GossipCodec.write(note);
        Optional<GossipMessage> read = GossipCodec.read(bytes, 100);
        assertEquals(note.from() < 100 && note.target() < 100, read.isPresent());
        read.ifPresent(n -> assertTrue(n.rumors().stream().allMatch(w -> w.member() < 100)));
    }
}
