package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/** The properties of a content of class basic: specification 0-9-1, 1.8 of the reference and 4.2.6.1. */
public final class Properties {
    /** None is set. */
    public static final Properties NONE = new Properties(new EnumMap<>(Property.class));
    private static final int HIGHEST_FLAG = 15;

    private final Map<Property, Object> set;

    /** Each, in the order of its flag, the highest first. */
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

    private Properties(Map<Property, Object> set) {
        this.set = set;
    }

    /** These, and one more; a null is left out. */
    public Properties with(Property property, Object value) {
        if (value == null) {
            return this;
        }
        Map<Property, Object> more = new EnumMap<>(Property.class);
        more.putAll(set);
        more.put(property, value);
        return new Properties(more);
    }

    /** The text of one; empty if it is not set. */
    public String text(Property property) {
        Object value = set.get(property);
        return value == null ? "" : value.toString();
    }

    /** Its headers; none if they are not set. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> headers() {
        return (Map<String, Object>) set.getOrDefault(Property.HEADERS, Map.of());
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
        Map<Property, Object> set = new EnumMap<>(Property.class);
        for (Property property : Property.values()) {
            if ((flags & property.flag()) != 0) {
                set.put(property, ValueCodec.read(in, property.domain));
            }
        }
        return new Properties(set);
    }

    void write(ByteBuf out) {
        int flags = 0;
        for (Property property : set.keySet()) {
            flags |= property.flag();
        }
        out.writeShort(flags);
        // An EnumMap goes by the order of its keys, which is that of the flags.
        set.forEach((property, value) -> ValueCodec.write(out, property.domain, value));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Properties p && set.equals(p.set);
    }

    @Override
    public int hashCode() {
        return set.hashCode();
    }

    @Override
    public String toString() {
        return Arrays.toString(set.keySet().toArray());
    }
}
