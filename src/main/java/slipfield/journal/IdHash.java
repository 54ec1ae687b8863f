package slipfield.journal;

import java.nio.charset.StandardCharsets;

/**
 * Represents a completed message in 64 bits: a 63-bit hash of its id, and whether it was delivered. With 65,536 ids, the chance
 * that an unknown one is taken for a known one is below 10^-14. The hash is SipHash-2-4 (Aumasson and Bernstein, 2012) with a
 * constant key: it has to be the same in each process, and its class is loaded faster than a message digest of the platform.
 */
final class IdHash {
    private static final long KEY_0 = 0x0706050403020100L;
    private static final long KEY_1 = 0x0f0e0d0c0b0a0908L;
    private static final int COMPRESSION_ROUNDS = 2;
    private static final int FINALIZATION_ROUNDS = 4;
    private static final long DELIVERED = 1;

    private IdHash() {
    }

    /** The entry of a message with this id that was delivered, or was not. */
    static long entry(String id, boolean delivered) {
        long hash = sipHash(id.getBytes(StandardCharsets.UTF_8));
        return delivered ? hash | DELIVERED : hash & ~DELIVERED;
    }

    static long sipHash(byte[] message) {
        long v0 = KEY_0 ^ 0x736f6d6570736575L;
        long v1 = KEY_1 ^ 0x646f72616e646f6dL;
        long v2 = KEY_0 ^ 0x6c7967656e657261L;
        long v3 = KEY_1 ^ 0x7465646279746573L;
        int words = message.length / Long.BYTES + 1;
        for (int i = 0; i <= words; i++) {
            boolean last = i == words;
            long word = last ? 0 : word(message, i);
            v3 ^= word;
            v2 ^= last ? 0xff : 0;
            for (int round = last ? FINALIZATION_ROUNDS : COMPRESSION_ROUNDS; round > 0; round--) {
                v0 += v1;
                v1 = Long.rotateLeft(v1, 13) ^ v0;
                v0 = Long.rotateLeft(v0, 32);
                v2 += v3;
                v3 = Long.rotateLeft(v3, 16) ^ v2;
                v0 += v3;
                v3 = Long.rotateLeft(v3, 21) ^ v0;
                v2 += v1;
                v1 = Long.rotateLeft(v1, 17) ^ v2;
                v2 = Long.rotateLeft(v2, 32);
            }
            v0 ^= word;
        }
        return v0 ^ v1 ^ v2 ^ v3;
    }

    /** The next eight bytes as a little-endian number; fewer than eight are followed by the message's length in the last one. */
    private static long word(byte[] message, int index) {
        int from = index * Long.BYTES;
        int count = Math.min(Long.BYTES, message.length - from);
        long word = count < Long.BYTES ? (long) message.length << 56 : 0;
        for (int i = 0; i < count; i++) {
            word |= (message[from + i] & 0xffL) << i * Byte.SIZE;
        }
        return word;
    }
}
