package slipfield.journal;

import java.nio.ByteBuffer;

/**
 * Finds the whole records in the bytes of a journal, one after the other. A record has its body's length (4 bytes), the body's
 * CRC-32 (8 bytes, of which the upper four are 0) and the body. A single wrong bit in length, checksum or body is located by
 * the checksum and corrected in place: over bodies of this size no two single-bit errors have the same syndrome. After greater
 * damage, bytes are skipped up to the next position where a whole record begins.
 */
final class RecordScanner {
    /** The generator of CRC-32 (IEEE 802.3), reflected. */
    private static final int POLYNOMIAL = 0xEDB88320;
    /** Greatest record type, the first byte of a body; with another first byte the checksum is not computed. */
    private static final int MAX_TYPE = 31;

    private final byte[] bytes;
    private int from;
    private int length;
    private int end;
    private int skipped;
    private boolean corrected;

    RecordScanner(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Advances to the next whole record; false if there is none. */
    boolean next() {
        for (int at = end; at + RecordFormat.HEADER_BYTES < bytes.length; at++) {
            boolean whole = isWhole(at, lengthAt(at));
            // Corrects only where a record has to begin: elsewhere arbitrary bytes could be turned into a record.
            corrected = !whole && at == end && correct(at);
            if (whole || corrected) {
                skipped = at - end;
                length = lengthAt(at);
                from = at + RecordFormat.HEADER_BYTES;
                end = from + length;
                return true;
            }
        }
        return false;
    }

    /** Offset of the record's body. */
    int from() {
        return from;
    }

    /** Length of the record's body in bytes. */
    int length() {
        return length;
    }

    /** Unreadable bytes between the record before and this one. */
    int skipped() {
        return skipped;
    }

    /** Whether a wrong bit of this record was corrected. */
    boolean corrected() {
        return corrected;
    }

    private int lengthAt(int at) {
        return ByteBuffer.wrap(bytes).getInt(at);
    }

    private long checksumAt(int at) {
        return ByteBuffer.wrap(bytes).getLong(at + 4);
    }

    private boolean fits(int at, int count) {
        return count >= 1 && count <= RecordFormat.MAX_BODY_BYTES && count <= bytes.length - at - RecordFormat.HEADER_BYTES;
    }

    private boolean isWhole(int at, int count) {
        return fits(at, count) && bytes[at + RecordFormat.HEADER_BYTES] > 0 && bytes[at + RecordFormat.HEADER_BYTES] <= MAX_TYPE
                && RecordFormat.checksum(bytes, at + RecordFormat.HEADER_BYTES, count) == checksumAt(at);
    }

    private boolean correct(int at) {
        int count = lengthAt(at);
        if (fits(at, count)) {
            long difference = RecordFormat.checksum(bytes, at + RecordFormat.HEADER_BYTES, count) ^ checksumAt(at);
            if (Long.bitCount(difference) == 1) {
                bytes[at + 4 + Long.numberOfLeadingZeros(difference) / 8]
                        ^= (byte) (1 << Long.numberOfTrailingZeros(difference) % 8);
                return true;
            }
            if (difference >>> 32 == 0 && correctBody(at + RecordFormat.HEADER_BYTES, count, (int) difference)) {
                return true;
            }
        }
        for (int bit = 0; bit < 32; bit++) {
            if (isWhole(at, count ^ 1 << bit)) {
                ByteBuffer.wrap(bytes).putInt(at, count ^ 1 << bit);
                return true;
            }
        }
        return false;
    }

    /**
     * Flips the bit whose error has this syndrome; false if there is none. A CRC is linear: the syndrome of an error is the
     * remainder of the error alone. The search goes from the last byte to the first; each byte further from the end adds eight
     * zero bits to the remainders.
     */
    private boolean correctBody(int start, int count, int difference) {
        int[] syndromes = new int[8];
        for (int bit = 0; bit < 8; bit++) {
            syndromes[bit] = step(1 << bit);
        }
        for (int at = start + count - 1; at >= start; at--) {
            for (int bit = 0; bit < 8; bit++) {
                if (syndromes[bit] == difference) {
                    bytes[at] ^= (byte) (1 << bit);
                    return true;
                }
                syndromes[bit] = step(syndromes[bit]);
            }
        }
        return false;
    }

    /** The remainder after eight more zero bits. */
    private static int step(int remainder) {
        int r = remainder;
        for (int i = 0; i < 8; i++) {
            r = (r & 1) != 0 ? r >>> 1 ^ POLYNOMIAL : r >>> 1;
        }
        return r;
    }
}
