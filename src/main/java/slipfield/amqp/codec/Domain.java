package slipfield.amqp.codec;

/** The types of method fields: specification 0-9-1, 4.2.5, and the domains of its XML. */
enum Domain {
    /** A boolean. Up to eight consecutive bits share an octet; the first is the least significant. */
    BIT,
    /** 8 bits, unsigned; an {@link Integer}. */
    OCTET,
    /** 16 bits, unsigned; an {@link Integer}. */
    SHORT,
    /** 32 bits, unsigned; a {@link Long}. */
    LONG,
    /** 64 bits; a {@link Long}. */
    LONGLONG,
    /** UTF-8 of at most 255 octets; a {@link String}. */
    SHORTSTR,
    /** Octets with a 32-bit length; a {@code byte[]}. */
    LONGSTR,
    /** A field table; a {@link java.util.Map}. */
    TABLE
}
