import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Frames of AMQP 0-9-1 on a connection, as far as the stand-ins need them. */
final class AmqpWire {
    private static final int METHOD = 1;
    private static final int HEADER = 2;
    private static final int BODY = 3;
    private static final int FRAME_END = 0xCE;
    /** Flags of a content header's properties. */
    private static final int CORRELATION_ID = 1 << 10;
    private static final int EXPIRATION = 1 << 8;
    private static final int MESSAGE_ID = 1 << 7;

    final Socket socket;
    final DataInputStream in;
    final DataOutputStream out;

    /** A method that was received; {@code id}: its class times 1000, and its number. */
    record Method(int channel, int id, DataInputStream arguments) {
    }

    /** Writes the arguments of a method. */
    interface Arguments {
        void write(DataOutputStream out) throws IOException;
    }

    AmqpWire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** The next method; contents and heartbeats are passed over. */
    Method next() throws IOException {
        while (true) {
            int type = in.readUnsignedByte();
            int channel = in.readUnsignedShort();
            byte[] payload = in.readNBytes(in.readInt());
            in.readByte();
            if (type == METHOD) {
                DataInputStream arguments = new DataInputStream(new ByteArrayInputStream(payload));
                return new Method(channel, arguments.readUnsignedShort() * 1000 + arguments.readUnsignedShort(), arguments);
            }
        }
    }

    void send(int channel, int id, Arguments arguments) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream method = new DataOutputStream(bytes);
        method.writeShort(id / 1000);
        method.writeShort(id % 1000);
        arguments.write(method);
        frame(METHOD, channel, bytes.toByteArray());
    }

    /** Sends the content of a method; an empty property is left out. */
    void sendContent(int channel, String correlationId, String expiration, String messageId, String body) throws IOException {
        byte[] octets = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream header = new DataOutputStream(bytes);
        header.writeShort(60);
        header.writeShort(0);
        header.writeLong(octets.length);
        header.writeShort((correlationId.isEmpty() ? 0 : CORRELATION_ID) | (expiration.isEmpty() ? 0 : EXPIRATION)
                | (messageId.isEmpty() ? 0 : MESSAGE_ID));
        for (String property : new String[] {correlationId, expiration, messageId}) {
            if (!property.isEmpty()) {
                text(header, property);
            }
        }
        frame(HEADER, channel, bytes.toByteArray());
        frame(BODY, channel, octets);
    }

    private void frame(int type, int channel, byte[] payload) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream frame = new DataOutputStream(bytes);
        frame.writeByte(type);
        frame.writeShort(channel);
        frame.writeInt(payload.length);
        frame.write(payload);
        frame.writeByte(FRAME_END);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Ends the connection with a reset, as a network does that loses it. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    static void longText(DataOutputStream out, String text) throws IOException {
        out.writeInt(text.length());
        out.writeBytes(text);
    }

    static void text(DataOutputStream out, String text) throws IOException {
        out.writeByte(text.length());
        out.writeBytes(text);
    }

    static String text(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readUnsignedByte()), StandardCharsets.UTF_8);
    }
}
