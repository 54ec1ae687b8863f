package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Decodes frames. At the first malformed frame it passes an {@link AmqpError} through the pipeline and discards all further
 * input, since the start of the next frame is unknown.
 */
public final class FrameDecoder extends ByteToMessageDecoder {
    /** The octets of a frame besides its payload: type, channel and length before it, and the end octet after it. */
    static final int OVERHEAD = 8;
    static final int FRAME_END = 0xCE;
    static final int METHOD = 1;
    static final int HEADER = 2;
    static final int BODY = 3;
    static final int HEARTBEAT = 8;
    /** The smallest frame size that may be negotiated: specification 4.2.3. */
    public static final int MIN_FRAME_MAX = 4096;
    private static final int BASIC_CLASS = 60;
    private static final byte[] PROTOCOL = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private boolean awaitsProtocolHeader;
    private boolean failed;
    private int frameMax = MIN_FRAME_MAX;

    /** {@code server}: the input starts with the eight octets of the protocol header. */
    public FrameDecoder(boolean server) {
        awaitsProtocolHeader = server;
        setCumulator(this::append);
    }

    /**
     * Appends a read to what was received before. Unlike Netty's cumulator, which rounds up to a power of two, the buffer of an
     * incomplete frame has no more room than a largest frame needs.
     */
    private ByteBuf append(ByteBufAllocator allocator, ByteBuf received, ByteBuf read) {
        if (!received.isReadable()) {
            received.release();
            return read;
        }
        try {
            int octets = received.readableBytes() + read.readableBytes();
            if (read.readableBytes() <= received.writableBytes() && received.refCnt() == 1 && !received.isReadOnly()) {
                return received.writeBytes(read);
            }
            int room = Math.max(octets, Math.min(2 * octets, frameMax));
            ByteBuf larger = allocator.heapBuffer(room).writeBytes(received).writeBytes(read);
            received.release();
            return larger;
        } finally {
            read.release();
        }
    }

    /** Sets the maximum size of a frame in octets, including its header and end. */
    public void frameMax(int octets) {
        frameMax = octets;
    }

    /** How much memory the incomplete frame takes that was received last, in octets. */
    public long memoryOctets() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            Frame frame = awaitsProtocolHeader ? protocolHeader(in) : frame(in);
            if (frame != null) {
                out.add(frame);
            }
        } catch (AmqpError e) {
            failed = true;
            in.skipBytes(in.readableBytes());
            out.add(e);
        }
    }

    private Frame protocolHeader(ByteBuf in) throws AmqpError {
        for (int i = 0; i < Math.min(PROTOCOL.length, in.readableBytes()); i++) {
            if (in.getByte(in.readerIndex() + i) != PROTOCOL[i]) {
                throw new AmqpError(ReplyCode.FRAME_ERROR, "not AMQP 0-9-1");
            }
        }
        if (in.readableBytes() < PROTOCOL.length) {
            return null;
        }
        in.skipBytes(PROTOCOL.length);
        awaitsProtocolHeader = false;
        return new Frame.ProtocolHeader();
    }

    private Frame frame(ByteBuf in) throws AmqpError {
        if (in.readableBytes() < OVERHEAD - 1) {
            return null;
        }
        int at = in.readerIndex();
        long length = in.getUnsignedInt(at + 3);
        if (length > frameMax - OVERHEAD) {
            throw new AmqpError(ReplyCode.FRAME_ERROR, "a frame of " + length + " octets, over the " + frameMax
                    + " that were agreed on; split the body");
        }
        if (in.readableBytes() < length + OVERHEAD) {
            return null;
        }
        int type = in.readUnsignedByte();
        int channel = in.readUnsignedShort();
        in.skipBytes(4);
        ByteBuf payload = in.readSlice((int) length);
        if (in.readUnsignedByte() != FRAME_END) {
            throw new AmqpError(ReplyCode.FRAME_ERROR, "no frame end where the frame's length puts it");
        }
        return switch (type) {
            case METHOD -> new Frame.OfMethod(channel, Method.read(payload));
            case HEADER -> header(channel, payload);
            case BODY -> new Frame.OfBody(channel, payload.retain());
            case HEARTBEAT -> heartbeat(channel, payload);
            default -> throw new AmqpError(ReplyCode.FRAME_ERROR, "no frame type " + type);
        };
    }

    private static Frame header(int channel, ByteBuf payload) throws AmqpError {
        if (payload.readableBytes() < 12) {
            throw new AmqpError(ReplyCode.FRAME_ERROR, "a content header of " + payload.readableBytes() + " octets");
        }
        int classId = payload.readUnsignedShort();
        int weight = payload.readUnsignedShort();
        long size = payload.readLong();
        if (classId != BASIC_CLASS || weight != 0 || size < 0) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, "a content header of class " + classId + ", weight " + weight);
        }
        Properties properties = Properties.read(payload);
        if (payload.isReadable()) {
            throw new AmqpError(ReplyCode.SYNTAX_ERROR, payload.readableBytes() + " octets behind a content header");
        }
        return new Frame.OfHeader(channel, size, properties);
    }

    private static Frame heartbeat(int channel, ByteBuf payload) throws AmqpError {
        if (channel != 0 || payload.isReadable()) {
            throw new AmqpError(ReplyCode.FRAME_ERROR, "a heartbeat with a channel or a payload");
        }
        return new Frame.Heartbeat();
    }
}
