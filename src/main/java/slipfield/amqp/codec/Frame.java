package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;

/** What goes over a connection: specification 0-9-1, 2.3.5 and 4.2. */
public sealed interface Frame {
    /** The channel that it is of; 0: the connection itself. */
    int channel();

    /** The eight octets that a client begins with. */
    record ProtocolHeader() implements Frame {
        @Override
        public int channel() {
            return 0;
        }
    }

    /** A method. */
    record OfMethod(int channel, Method method) implements Frame {
    }

    /** A content header, which says how long the body is, in octets. */
    record OfHeader(int channel, long bodySize, Properties properties) implements Frame {
    }

    /** A part of a body. Whoever takes it releases the octets. */
    record OfBody(int channel, ByteBuf octets) implements Frame {
    }

    /** The other side is there. */
    record Heartbeat() implements Frame {
        @Override
        public int channel() {
            return 0;
        }
    }

    /** To be sent: a method with its whole content, in as many frames as the connection's limit needs. */
    record Content(int channel, Method method, Properties properties, byte[] body) implements Frame {
    }
}
