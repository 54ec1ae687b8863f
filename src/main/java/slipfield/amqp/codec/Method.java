package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** A method with its arguments, which are read by the field names of the specification. */
public final class Method {
    private final MethodId id;
    private final Object[] values;

    private Method(MethodId id, Object[] values) {
        this.id = id;
        this.values = values;
    }

    /**
     * A method to send.
     *
     * @param arguments one for each field, in the order of {@link MethodId}: {@link Boolean} for a bit, {@link Integer} for
     *     octet and short, {@link Long} for long and longlong, {@link String} for both kinds of string (or {@code byte[]} for
     *     a long one), {@link Map} for a table
     */
    public static Method of(MethodId id, Object... arguments) {
        if (arguments.length != id.domains().length) {
            throw new IllegalArgumentException(id + " has " + id.domains().length + " fields");
        }
        return new Method(id, arguments);
    }

    /** The id of the method. */
    public MethodId id() {
        return id;
    }

    /** About how much memory the arguments take, in octets. */
    long octets() {
        return ValueCodec.memoryOctets(Arrays.asList(values));
    }

    /** The value of a bit. */
    public boolean flag(String field) {
        return (Boolean) values[id.field(field)];
    }

    /** The value of an octet, a short, a long or a longlong. */
    public long number(String field) {
        return ((Number) values[id.field(field)]).longValue();
    }

    /** The value of a short string, or of a long string decoded as UTF-8. */
    public String text(String field) {
        Object value = values[id.field(field)];
        return value instanceof byte[] octets ? new String(octets, StandardCharsets.UTF_8) : (String) value;
    }

    /** The octets of a long string. */
    public byte[] octets(String field) {
        Object value = values[id.field(field)];
        return value instanceof byte[] octets ? octets : ((String) value).getBytes(StandardCharsets.UTF_8);
    }

    /** The value of a field table. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> table(String field) {
        return (Map<String, Object>) values[id.field(field)];
    }

    /** Reads the payload of a method frame. Throws if the method is unknown, or the payload too short or too long. */
    static Method read(ByteBuf in) throws AmqpError {
        if (in.readableBytes() < 4) {
            throw new AmqpError(ReplyCode.FRAME_ERROR, "a method frame of " + in.readableBytes() + " octets");
        }
        int classId = in.readUnsignedShort();
        int methodId = in.readUnsignedShort();
        MethodId id = MethodId.of(classId, methodId);
        if (id == null) {
            throw new AmqpError(ReplyCode.COMMAND_INVALID, "no method " + classId + "." + methodId
                    + " in AMQP 0-9-1", classId, methodId);
        }
        Domain[] domains = id.domains();
        Object[] values = new Object[domains.length];
        int bits = 0;
        int bitIndex = 0;
        for (int i = 0; i < domains.length; i++) {
            if (domains[i] == Domain.BIT) {
                if (bitIndex == 0) {
                    bits = ValueCodec.octet(in);
                }
                values[i] = (bits >> bitIndex & 1) == 1;
                bitIndex = bitIndex == 7 ? 0 : bitIndex + 1;
            } else {
                bitIndex = 0;
                values[i] = ValueCodec.read(in, domains[i]);
            }
        }
        if (in.isReadable()) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, in.readableBytes() + " octets behind " + id, classId, methodId);
        }
        return new Method(id, values);
    }

    void write(ByteBuf out) {
        out.writeShort(id.classId()).writeShort(id.methodId());
        Domain[] domains = id.domains();
        int bits = 0;
        int bitIndex = 0;
        for (int i = 0; i < domains.length; i++) {
            if (domains[i] == Domain.BIT) {
                bits |= (Boolean) values[i] ? 1 << bitIndex : 0;
                if (++bitIndex == 8 || i + 1 == domains.length || domains[i + 1] != Domain.BIT) {
                    out.writeByte(bits);
                    bits = 0;
                    bitIndex = 0;
                }
            } else {
                ValueCodec.write(out, domains[i], values[i]);
            }
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Method m && id == m.id && Arrays.deepEquals(values, m.values);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Arrays.deepHashCode(values);
    }

    /** Omits the arguments, which may contain a secret. */
    @Override
    public String toString() {
        return id + List.of(id.domains()).toString();
    }
}
