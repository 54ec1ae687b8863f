package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Date;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes method fields, tables and arrays: specification 0-9-1, 4.2.5. The type tags in tables are those that
 * brokers and clients use. They differ from the specification where it was never followed ({@code s} is a signed 16-bit
 * integer, {@code l} a signed 64-bit integer).
 */
final class ValueCodec {
    /** Limits the nesting of tables and arrays, so that a frame can't overflow the stack. */
    private static final int MAX_DEPTH = 16;
    private static final int MAX_SHORTSTR = 255;
    /** About how much memory an object takes besides its content: its header, and its entry in a table. */
    private static final int OBJECT_OCTETS = 64;

    private ValueCodec() {
    }

    static Object read(ByteBuf in, Domain domain) throws AmqpError {
        return switch (domain) {
            case OCTET -> octet(in);
            case SHORT -> {
                requireOctets(in, 2);
                yield in.readUnsignedShort();
            }
            case LONG -> {
                requireOctets(in, 4);
                yield in.readUnsignedInt();
            }
            case LONGLONG -> {
                requireOctets(in, 8);
                yield in.readLong();
            }
            case SHORTSTR -> shortstr(in);
            case LONGSTR -> longstr(in);
            case TABLE -> table(in, 0);
            case BIT -> throw new IllegalArgumentException("bits share an octet");
        };
    }

    static void write(ByteBuf out, Domain domain, Object value) {
        switch (domain) {
            case OCTET -> out.writeByte(((Number) value).intValue());
            case SHORT -> out.writeShort(((Number) value).intValue());
            case LONG -> out.writeInt(((Number) value).intValue());
            case LONGLONG -> out.writeLong(((Number) value).longValue());
            case SHORTSTR -> writeShortstr(out, (String) value);
            case LONGSTR -> writeLongstr(out, value);
            case TABLE -> writeTable(out, (Map<?, ?>) value);
            case BIT -> throw new IllegalArgumentException("bits share an octet");
        }
    }

    /** About how much memory these values take, in octets. Small values take far more than in a frame. */
    static long memoryOctets(Collection<?> values) {
        long octets = 0;
        for (Object value : values) {
            octets += OBJECT_OCTETS;
            if (value instanceof String text) {
                octets += text.length();
            } else if (value instanceof byte[] bytes) {
                octets += bytes.length;
            } else if (value instanceof Map<?, ?> table) {
                octets += memoryOctets(table.keySet()) + memoryOctets(table.values());
            } else if (value instanceof List<?> array) {
                octets += memoryOctets(array);
            }
        }
        return octets;
    }

    private static void requireOctets(ByteBuf in, long octets) throws AmqpError {
        if (octets > in.readableBytes()) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, "a field needs " + octets + " octets, and "
                    + in.readableBytes() + " are left in its frame");
        }
    }

    static int octet(ByteBuf in) throws AmqpError {
        requireOctets(in, 1);
        return in.readUnsignedByte();
    }

    private static String shortstr(ByteBuf in) throws AmqpError {
        int length = octet(in);
        requireOctets(in, length);
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    private static byte[] longstr(ByteBuf in) throws AmqpError {
        byte[] octets = new byte[length(in)];
        in.readBytes(octets);
        return octets;
    }

    private static int length(ByteBuf in) throws AmqpError {
        requireOctets(in, 4);
        long length = in.readUnsignedInt();
        requireOctets(in, length);
        return (int) length;
    }

    private static Map<String, Object> table(ByteBuf in, int depth) throws AmqpError {
        ByteBuf table = in.readSlice(length(in));
        Map<String, Object> fields = new LinkedHashMap<>();
        while (table.isReadable()) {
            fields.put(shortstr(table), value(table, depth + 1));
        }
        return fields;
    }

    private static List<Object> array(ByteBuf in, int depth) throws AmqpError {
        ByteBuf array = in.readSlice(length(in));
        List<Object> items = new ArrayList<>();
        while (array.isReadable()) {
            items.add(value(array, depth + 1));
        }
        return items;
    }

    private static Object value(ByteBuf in, int depth) throws AmqpError {
        if (depth > MAX_DEPTH) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, "tables in one another, more than " + MAX_DEPTH
                    + " deep; send a flat one");
        }
        char type = (char) octet(in);
        switch (type) {
            case 't':
                return octet(in) != 0;
            case 'b':
                return (byte) octet(in);
            case 'B':
                return octet(in);
            case 's':
                requireOctets(in, 2);
                return in.readShort();
            case 'u':
                requireOctets(in, 2);
                return in.readUnsignedShort();
            case 'I':
                requireOctets(in, 4);
                return in.readInt();
            case 'i':
                requireOctets(in, 4);
                return in.readUnsignedInt();
            case 'l':
            case 'L':
                requireOctets(in, 8);
                return in.readLong();
            case 'f':
                requireOctets(in, 4);
                return in.readFloat();
            case 'd':
                requireOctets(in, 8);
                return in.readDouble();
            case 'D':
                int scale = octet(in);
                requireOctets(in, 4);
                return new BigDecimal(BigInteger.valueOf(in.readInt()), scale);
            case 'S':
                return new String(longstr(in), StandardCharsets.UTF_8);
            case 'x':
                return longstr(in);
            case 'T':
                requireOctets(in, 8);
                return new Date(in.readLong() * 1000);
            case 'A':
                return array(in, depth);
            case 'F':
                return table(in, depth);
            case 'V':
                return null;
            default:
                throw new AmqpError(ReplyCode.SYNTAX_ERROR, "no field type '" + (type < ' ' || type > '~'
                        ? Integer.toString(type) : String.valueOf(type)) + "'");
        }
    }

    /** Writes a short string. A text over 255 octets is truncated at a character boundary. */
    private static void writeShortstr(ByteBuf out, String text) {
        int at = out.writerIndex();
        out.writeByte(0);
        int written = out.writeCharSequence(text, StandardCharsets.UTF_8);
        if (written > MAX_SHORTSTR) {
            written = MAX_SHORTSTR;
            while ((out.getByte(at + 1 + written) & 0xC0) == 0x80) {
                written--;
            }
            out.writerIndex(at + 1 + written);
        }
        out.setByte(at, written);
    }

    private static void writeLongstr(ByteBuf out, Object value) {
        if (value instanceof byte[] octets) {
            out.writeInt(octets.length).writeBytes(octets);
        } else {
            String text = (String) value;
            out.writeInt(ByteBufUtil.utf8Bytes(text));
            out.writeCharSequence(text, StandardCharsets.UTF_8);
        }
    }

    static void writeTable(ByteBuf out, Map<?, ?> fields) {
        int at = out.writerIndex();
        out.writeInt(0);
        for (Map.Entry<?, ?> field : fields.entrySet()) {
            writeShortstr(out, (String) field.getKey());
            writeValue(out, field.getValue());
        }
        out.setInt(at, out.writerIndex() - at - 4);
    }

    private static void writeValue(ByteBuf out, Object value) {
        if (value == null) {
            out.writeByte('V');
        } else if (value instanceof String text) {
            out.writeByte('S');
            writeLongstr(out, text);
        } else if (value instanceof byte[] octets) {
            out.writeByte('x');
            writeLongstr(out, octets);
        } else if (value instanceof Boolean bit) {
            out.writeByte('t').writeByte(bit ? 1 : 0);
        } else if (value instanceof Byte number) {
            out.writeByte('b').writeByte(number);
        } else if (value instanceof Short number) {
            out.writeByte('s').writeShort(number);
        } else if (value instanceof Integer number) {
            out.writeByte('I').writeInt(number);
        } else if (value instanceof Long number) {
            out.writeByte('l').writeLong(number);
        } else if (value instanceof Float number) {
            out.writeByte('f').writeFloat(number);
        } else if (value instanceof Double number) {
            out.writeByte('d').writeDouble(number);
        } else if (value instanceof BigDecimal number) {
            out.writeByte('D').writeByte(number.scale()).writeInt(number.unscaledValue().intValue());
        } else if (value instanceof Date time) {
            out.writeByte('T').writeLong(time.getTime() / 1000);
        } else if (value instanceof Map<?, ?> table) {
            out.writeByte('F');
            writeTable(out, table);
        } else if (value instanceof List<?> array) {
            out.writeByte('A');
            int at = out.writerIndex();
            out.writeInt(0);
            array.forEach(item -> writeValue(out, item));
            out.setInt(at, out.writerIndex() - at - 4);
        } else {
            throw new IllegalArgumentException("no field type for " + value.getClass().getName());
        }
    }
}
