package slipfield.daemon;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.FrameDecoder;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;

/** An AMQP client that sends and reads single frames, also those that a correct client would not send. */
final class RawPeer implements AutoCloseable {
    static final int FRAME_MAX = 8192;
    private static final int READ_MS = 20_000;

    final Socket socket;
    private final EmbeddedChannel out;
    private final EmbeddedChannel in;

    RawPeer(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_MS);
        FrameEncoder encoder = new FrameEncoder();
        encoder.frameMax(FRAME_MAX);
        FrameDecoder decoder = new FrameDecoder(false);
        decoder.frameMax(1 << 20);
        out = new EmbeddedChannel(encoder);
        in = new EmbeddedChannel(decoder);
    }

    /** Opens a connection as this user, and channel 1 on it. */
    static RawPeer open(InetSocketAddress address, String user, int heartbeatSeconds) throws IOException {
        RawPeer peer = new RawPeer(address);
        peer.login(user, AmqpFixture.PASSWORD);
        peer.await(MethodId.CONNECTION_TUNE);
        peer.send(0, MethodId.CONNECTION_TUNE_OK, 0, (long) FRAME_MAX, heartbeatSeconds);
        peer.send(0, MethodId.CONNECTION_OPEN, "/", "", false);
        peer.await(MethodId.CONNECTION_OPEN_OK);
        peer.send(1, MethodId.CHANNEL_OPEN, "");
        peer.await(MethodId.CHANNEL_OPEN_OK);
        return peer;
    }

    void login(String user, String password) throws IOException {
        send(new Frame.ProtocolHeader());
        await(MethodId.CONNECTION_START);
        send(0, MethodId.CONNECTION_START_OK, Map.of(), "PLAIN", "\0" + user + "\0" + password, "en_US");
    }

    byte[] encode(Frame frame) {
        out.writeOutbound(frame);
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf part = out.readOutbound(); part != null; part = out.readOutbound()) {
            all.writeBytes(part);
            part.release();
        }
        byte[] bytes = new byte[all.readableBytes()];
        all.readBytes(bytes);
        return bytes;
    }

    void send(Frame frame) throws IOException {
        socket.getOutputStream().write(encode(frame));
    }

    void send(int channel, MethodId id, Object... arguments) throws IOException {
        send(new Frame.OfMethod(channel, Method.of(id, arguments)));
    }

    /** The next frame other than a heartbeat, or null if the connection was closed. */
    Frame next() throws IOException {
        byte[] read = new byte[8192];
        for (;;) {
            Object frame = in.readInbound();
            if (frame instanceof Frame f && !(frame instanceof Frame.Heartbeat)) {
                return f;
            }
            if (frame == null) {
                int length = socket.getInputStream().read(read);
                if (length < 0) {
                    return null;
                }
                in.writeInbound(Unpooled.copiedBuffer(read, 0, length));
            }
        }
    }

    /** Reads frames until this method arrives. Throws if the connection is closed before. */
    Method await(MethodId id) throws IOException {
        for (Frame frame = next(); frame != null; frame = next()) {
            if (frame instanceof Frame.OfMethod m && m.method().id() == id) {
                return m.method();
            }
            if (frame instanceof Frame.OfMethod m && m.method().id() == MethodId.CONNECTION_CLOSE) {
                throw new IOException("closed: " + m.method().text("reply-text"));
            }
        }
        throw new IOException("closed before " + id + " arrived");
    }

    @Override
    public void close() throws IOException {
        socket.close();
        out.finishAndReleaseAll();
        in.finishAndReleaseAll();
    }
}
