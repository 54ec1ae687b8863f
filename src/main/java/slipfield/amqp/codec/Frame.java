package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;

/** A frame on a connection: specification 0-9-1, 2.3.5 and 4.2. */
public sealed interface Frame {
    /** The channel number; 0 for the connection itself. */
    int channel();

    /** The protocol header, the eight octets with which a client opens a connection. */
    record ProtocolHeader() implements Frame {
        @Override
        public int channel() {
            return 0;
        }
    }

    /** A method frame. */
    record OfMethod(int channel, Method method) implements Frame {
    }

    /** A content header; {@code bodySize}: the size of the whole body in octets. */
    record OfHeader(int channel, long bodySize, Properties properties) implements Frame {
    }

    /** A part of a body. The receiver of the frame must release the buffer. */
    record OfBody(int channel, ByteBuf octets) implements Frame {
    }

    /** A heartbeat: the peer is alive. */
    record Heartbeat() implements Frame {
        @Override
        public int channel() {
            return 0;
        }
    }

    /** Only for sending: a method with its whole content. The encoder splits the body by the connection's frame size. */
    record Content(int channel, Method method, Properties properties, byte[] body) implements Frame {
    }
}
