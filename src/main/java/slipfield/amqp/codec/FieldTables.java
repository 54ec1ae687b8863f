package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Map;

/** Field tables that stand by themselves: mechanism AMQPLAIN sends one without its length. */
public final class FieldTables {
    private FieldTables() {
    }

    /** The fields of a table whose length was left out. */
    public static Map<String, Object> read(byte[] fields) throws AmqpError {
        ByteBuf whole = Unpooled.buffer(4 + fields.length).writeInt(fields.length).writeBytes(fields);
        @SuppressWarnings("unchecked")
        Map<String, Object> table = (Map<String, Object>) ValueCodec.read(whole, Domain.TABLE);
        return table;
    }
}
