package slipfield.amqp.codec;

/** The types of methods' fields: specification 0-9-1, 4.2.5, and the domains of its XML. */
enum Domain {
    /** One of up to eight in a row that share an octet, the first in its lowest place. */
    BIT,
    /** 8 bits without a sign; an {@link Integer}. */
    OCTET,
    /** 16 bits without a sign; an {@link Integer}. */
    SHORT,
    /** 32 bits without a sign; a {@link Long}. */
    LONG,
    /** 64 bits; a {@link Long}. */
    LONGLONG,
    /** UTF-8 of 255 octets at most; a {@link String}. */
    SHORTSTR,
    /** Octets, 32 bits of length; a {@code byte[]}. */
    LONGSTR,
    /** A field table; a {@link java.util.Map}. */
    TABLE
}
