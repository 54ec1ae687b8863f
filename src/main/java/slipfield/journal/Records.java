package slipfield.journal;

import java.nio.ByteBuffer;

/**
 * The whole records in the bytes of a journal, one after the other. A record has its length (4 bytes), its
 * CRC-32 (8 bytes, of which the upper four are 0) and its body. One wrong bit, be it in length, checksum or
 * body, is found by the checksum and mended in place: over bodies of this size no two single errors have the
 * same syndrome. What is more damaged is skipped, up to the next place where a whole record begins.
 */
final class Records {
    /** The generator of CRC-32 (IEEE 802.3), reflected. */
    private static final int POLYNOMIAL = 0xEDB88320;
    /** The first byte of a body is the type of record; a search looks no further into what can't be one. */
    private static final int MOST_TYPE = 31;

    private final byte[] bytes;
    private int from;
    private int length;
    private int end;
    private int skipped;
    private boolean mended;

    Records(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Goes on to the next whole record; false where there is none. */
    boolean next() {
        for (int at = end; at + Form.HEAD < bytes.length; at++) {
            boolean whole = isWhole(at, lengthAt(at));
            // Only where a record must begin: elsewhere a mend would make one out of anything.
            mended = !whole && at == end && mend(at);
            if (whole || mended) {
                skipped = at - end;
                length = lengthAt(at);
                from = at + Form.HEAD;
                end = from + length;
                return true;
            }
        }
        return false;
    }

    /** Where the record's body begins. */
    int from() {
        return from;
    }

    /** Bytes of the record's body. */
    int length() {
        return length;
    }

    /** Bytes before this record that could not be read. */
    int skipped() {
        return skipped;
    }

    /** Whether a bit of this record was wrong. */
    boolean mended() {
        return mended;
    }

    private int lengthAt(int at) {
        return ByteBuffer.wrap(bytes).getInt(at);
    }

    private long checksumAt(int at) {
        return ByteBuffer.wrap(bytes).getLong(at + 4);
    }

    private boolean fits(int at, int count) {
        return count >= 1 && count <= Form.LONGEST && count <= bytes.length - at - Form.HEAD;
    }

    private boolean isWhole(int at, int count) {
        return fits(at, count) && bytes[at + Form.HEAD] > 0 && bytes[at + Form.HEAD] <= MOST_TYPE
                && Form.checksum(bytes, at + Form.HEAD, count) == checksumAt(at);
    }

    private boolean mend(int at) {
        int told = lengthAt(at);
        if (fits(at, told)) {
            long difference = Form.checksum(bytes, at + Form.HEAD, told) ^ checksumAt(at);
            if (Long.bitCount(difference) == 1) {
                bytes[at + 4 + Long.numberOfLeadingZeros(difference) / 8]
                        ^= (byte) (1 << Long.numberOfTrailingZeros(difference) % 8);
                return true;
            }
            if (difference >>> 32 == 0 && mendBody(at + Form.HEAD, told, (int) difference)) {
                return true;
            }
        }
        for (int bit = 0; bit < 32; bit++) {
            if (isWhole(at, told ^ 1 << bit)) {
                ByteBuffer.wrap(bytes).putInt(at, told ^ 1 << bit);
                return true;
            }
        }
        return false;
    }

    /**
     * Turns the bit whose error has this syndrome. CRC is linear: the syndrome of an error is the remainder of
     * the error alone, so from the last byte on each earlier one's is a step further on.
     */
    private boolean mendBody(int start, int count, int difference) {
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
