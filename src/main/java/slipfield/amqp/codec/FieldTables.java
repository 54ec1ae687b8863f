package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Map;

/** Reads field tables outside of frames: the SASL mechanism AMQPLAIN sends one without its length. */
public final class FieldTables {
    private FieldTables() {
    }

    /** Reads a table that is sent without its length prefix. */
    public static Map<String, Object> read(byte[] fields) throws AmqpError {
        ByteBuf withLength = Unpooled.buffer(4 + fields.length).writeInt(fields.length).writeBytes(fields);
        @SuppressWarnings("unchecked")
        Map<String, Object> table = (Map<String, Object>) ValueCodec.read(withLength, Domain.TABLE);
        return table;
    }
}
