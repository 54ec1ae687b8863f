package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;

/** A frame on a connection: specification 0-9-1, 2.3.5 and 4.2. */
public sealed interface Frame {
    /** About how much memory a frame takes besides what it carries. */
    long OBJECT_OCTETS = 96;

    /** The channel number; 0 for the connection itself. */
    int channel();

    /** About how much memory it takes, in octets. A table of small fields takes far more than it had in its frame. */
    default long memoryOctets() {
        return OBJECT_OCTETS;
    }

    /** The protocol header, the eight octets with which a client opens a connection. */
    record ProtocolHeader() implements Frame {
        @Override
        public int channel() {
            return 0;
        }
    }

    /** A method frame. */
    record OfMethod(int channel, Method method) implements Frame {
        @Override
        public long memoryOctets() {
            return OBJECT_OCTETS + method.octets();
        }
    }

    /** A content header; {@code bodySize}: the size of the whole body in octets. */
    record OfHeader(int channel, long bodySize, Properties properties) implements Frame {
        @Override
        public long memoryOctets() {
            return OBJECT_OCTETS + properties.octets();
        }
    }

    /** A part of a body. The receiver of the frame must release the buffer. */
    record OfBody(int channel, ByteBuf octets) implements Frame {
        @Override
        public long memoryOctets() {
            return OBJECT_OCTETS + octets.readableBytes();
        }
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
