package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/** The properties of a content of class basic: specification 0-9-1, 1.8 of the reference and 4.2.6.1. */
public final class Properties {
    /** No property is set. */
    public static final Properties NONE = new Properties(new EnumMap<>(Property.class));
    private static final int HIGHEST_FLAG = 15;

    private final Map<Property, Object> values;

    /** The properties, in the order of their flags from the most significant bit. */
    public enum Property {
        CONTENT_TYPE(Domain.SHORTSTR),
        CONTENT_ENCODING(Domain.SHORTSTR),
        HEADERS(Domain.TABLE),
        DELIVERY_MODE(Domain.OCTET),
        PRIORITY(Domain.OCTET),
        CORRELATION_ID(Domain.SHORTSTR),
        REPLY_TO(Domain.SHORTSTR),
        EXPIRATION(Domain.SHORTSTR),
        MESSAGE_ID(Domain.SHORTSTR),
        TIMESTAMP(Domain.LONGLONG),
        TYPE(Domain.SHORTSTR),
        USER_ID(Domain.SHORTSTR),
        APP_ID(Domain.SHORTSTR),
        CLUSTER_ID(Domain.SHORTSTR);

        private final Domain domain;

        Property(Domain domain) {
            this.domain = domain;
        }

        private int flag() {
            return 1 << HIGHEST_FLAG - ordinal();
        }
    }

    private Properties(Map<Property, Object> values) {
        this.values = values;
    }

    /** Returns a copy with this property values; returns this object if the value is null. */
    public Properties with(Property property, Object value) {
        if (value == null) {
            return this;
        }
        Map<Property, Object> copy = new EnumMap<>(Property.class);
        copy.putAll(values);
        copy.put(property, value);
        return new Properties(copy);
    }

    /** The value of a property as text; empty if it is not set. */
    public String text(Property property) {
        Object value = values.get(property);
        return value == null ? "" : value.toString();
    }

    /** The headers; empty if they are not set. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> headers() {
        return (Map<String, Object>) values.getOrDefault(Property.HEADERS, Map.of());
    }

    /** About how much memory the values take, in octets. */
    public long octets() {
        return ValueCodec.memoryOctets(values.values());
    }

    static Properties read(ByteBuf in) throws AmqpError {
        if (in.readableBytes() < 2) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, "a content header without property flags");
        }
        int flags = in.readUnsignedShort();
        if ((flags & 3) != 0) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, "a property that class basic does not have");
        }
        if (flags == 0) {
            return NONE;
        }
        Map<Property, Object> values = new EnumMap<>(Property.class);
        for (Property property : Property.values()) {
            if ((flags & property.flag()) != 0) {
                values.put(property, ValueCodec.read(in, property.domain));
            }
        }
        return new Properties(values);
    }

    void write(ByteBuf out) {
        int flags = 0;
        for (Property property : values.keySet()) {
            flags |= property.flag();
        }
        out.writeShort(flags);
        // An EnumMap iterates in the order of its constants, which is the order of the flags.
        values.forEach((property, value) -> ValueCodec.write(out, property.domain, value));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Properties p && values.equals(p.values);
    }

    @Override
    public int hashCode() {
        return values.hashCode();
    }

    @Override
    public String toString() {
        return Arrays.toString(values.keySet().toArray());
    }
}
