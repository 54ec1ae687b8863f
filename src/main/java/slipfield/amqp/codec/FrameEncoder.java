package slipfield.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageEncoder;
import java.util.List;

/** Encodes frames. A long body is not copied: it is written as a buffer between those of its frame header and frame end. */
public final class FrameEncoder extends MessageToMessageEncoder<Frame> {
    /** Body parts up to this size in octets are copied, which is cheaper than one more buffer in the write. */
    private static final int MAX_COPIED = 2048;
    private static final int INITIAL_BUFFER = 256;
    private static final byte[] PROTOCOL = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private int frameMax = FrameDecoder.MIN_FRAME_MAX;

    /** Sets the maximum size of a frame in octets, including its header and end. */
    public void frameMax(int octets) {
        frameMax = octets;
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, List<Object> out) {
        if (frame instanceof Frame.OfBody body) {
            ByteBuf octets = ctx.alloc().buffer(FrameDecoder.OVERHEAD + body.octets().readableBytes());
            begin(octets, FrameDecoder.BODY, body.channel(), body.octets().readableBytes());
            octets.writeBytes(body.octets()).writeByte(FrameDecoder.FRAME_END);
            body.octets().release();
            out.add(octets);
            return;
        }
        ByteBuf octets = ctx.alloc().buffer(INITIAL_BUFFER);
        if (frame instanceof Frame.OfMethod method) {
            method(octets, method.channel(), method.method());
        } else if (frame instanceof Frame.OfHeader header) {
            header(octets, header.channel(), header.bodySize(), header.properties());
        } else if (frame instanceof Frame.Heartbeat) {
            begin(octets, FrameDecoder.HEARTBEAT, 0, 0);
            octets.writeByte(FrameDecoder.FRAME_END);
        } else if (frame instanceof Frame.ProtocolHeader) {
            octets.writeBytes(PROTOCOL);
        } else if (frame instanceof Frame.Content content) {
            method(octets, content.channel(), content.method());
            header(octets, content.channel(), content.body().length, content.properties());
            octets = body(ctx, octets, content.channel(), content.body(), out);
        }
        out.add(octets);
    }

    /** Writes the body in frames. Returns the buffer that contains the end octet of the last one. */
    private ByteBuf body(ChannelHandlerContext ctx, ByteBuf before, int channel, byte[] body, List<Object> out) {
        ByteBuf octets = before;
        int maxPart = frameMax - FrameDecoder.OVERHEAD;
        for (int at = 0; at < body.length; at += maxPart) {
            int length = Math.min(maxPart, body.length - at);
            begin(octets, FrameDecoder.BODY, channel, length);
            if (length <= MAX_COPIED) {
                octets.writeBytes(body, at, length);
            } else {
                out.add(octets);
                out.add(Unpooled.wrappedBuffer(body, at, length));
                octets = ctx.alloc().buffer(INITIAL_BUFFER);
            }
            octets.writeByte(FrameDecoder.FRAME_END);
        }
        return octets;
    }

    private static void begin(ByteBuf out, int type, int channel, int length) {
        out.writeByte(type).writeShort(channel).writeInt(length);
    }

    private static void method(ByteBuf out, int channel, Method method) {
        int at = out.writerIndex();
        begin(out, FrameDecoder.METHOD, channel, 0);
        method.write(out);
        end(out, at);
    }

    private static void header(ByteBuf out, int channel, long bodySize, Properties properties) {
        int at = out.writerIndex();
        begin(out, FrameDecoder.HEADER, channel, 0);
        out.writeShort(60).writeShort(0).writeLong(bodySize);
        properties.write(out);
        end(out, at);
    }

    private static void end(ByteBuf out, int at) {
        out.setInt(at + 3, out.writerIndex() - at - FrameDecoder.OVERHEAD + 1);
        out.writeByte(FrameDecoder.FRAME_END);
    }
}
