package review2;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/** As much of AMQP 0-9-1 as the cases need, from its specification: a publisher with confirms, and a broker that is published to. */
final class Amqp {
    private static final int METHOD = 1;
    private static final int HEADER = 2;
    private static final int BODY = 3;
    private static final int HEARTBEAT = 8;
    private static final int END = 0xCE;
    private static final byte[] PROTOCOL = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private Amqp() {
    }

    /** The form of a secret in the operator's file. */
    static String secret(String password) throws GeneralSecurityException {
        byte[] salt = new byte[16];
        byte[] hash = SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                .generateSecret(new PBEKeySpec(password.toCharArray(), salt, 210_000, 256)).getEncoded();
        return "pbkdf2-sha256:210000:" + Base64.getEncoder().encodeToString(salt) + ":" + Base64.getEncoder().encodeToString(hash);
    }

    /** A frame; {@code in} reads its payload. */
    private record Frame(int type, int channel, byte[] payload) {
        DataInputStream in() {
            return new DataInputStream(new java.io.ByteArrayInputStream(payload));
        }

        /** Class and method, as the specification numbers them. */
        int method() throws IOException {
            DataInputStream in = in();
            return in.readUnsignedShort() * 1000 + in.readUnsignedShort();
        }
    }

    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    private static void shortText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(bytes.length);
        out.write(bytes);
    }

    private static void longBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String shortText(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readUnsignedByte()), StandardCharsets.UTF_8);
    }

    /** One end of a connection. */
    private static final class Link implements Closeable {
        private final Socket socket;
        private final DataInputStream in;
        private final DataOutputStream out;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            out = new DataOutputStream(socket.getOutputStream());
        }

        Frame read() throws IOException {
            while (true) {
                int type = in.readUnsignedByte();
                int channel = in.readUnsignedShort();
                byte[] payload = in.readNBytes(in.readInt());
                if (in.readUnsignedByte() != END) {
                    throw new IOException("no end of a frame");
                }
                if (type == HEARTBEAT) {
                    send(HEARTBEAT, 0, o -> { });
                } else {
                    return new Frame(type, channel, payload);
                }
            }
        }

        Frame expect(int method) throws IOException {
            Frame frame = read();
            if (frame.type != METHOD || frame.method() != method) {
                throw new IOException("method " + frame.method() + " instead of " + method);
            }
            return frame;
        }

        synchronized void send(int type, int channel, Writer writer) throws IOException {
            out.write(frame(type, channel, writer));
            out.flush();
        }

        private static byte[] frame(int type, int channel, Writer writer) throws IOException {
            ByteArrayOutputStream payload = new ByteArrayOutputStream();
            writer.write(new DataOutputStream(payload));
            ByteArrayOutputStream frame = new ByteArrayOutputStream();
            DataOutputStream f = new DataOutputStream(frame);
            f.writeByte(type);
            f.writeShort(channel);
            longBytes(f, payload.toByteArray());
            f.writeByte(END);
            return frame.toByteArray();
        }

        void method(int channel, int method, Writer arguments) throws IOException {
            send(METHOD, channel, methodWriter(method, arguments));
        }

        private static Writer methodWriter(int method, Writer arguments) {
            return o -> {
                o.writeShort(method / 1000);
                o.writeShort(method % 1000);
                arguments.write(o);
            };
        }

        /** A method with its content, in one write. */
        synchronized void content(int method, Writer arguments, Writer properties, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(frame(METHOD, 1, methodWriter(method, arguments)));
            all.writeBytes(frame(HEADER, 1, o -> {
                o.writeShort(60);
                o.writeShort(0);
                o.writeLong(body.length);
                properties.write(o);
            }));
            if (body.length > 0) {
                all.writeBytes(frame(BODY, 1, o -> o.write(body)));
            }
            out.write(all.toByteArray());
            out.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A publisher in confirm mode. Each message has a message-id and a correlation-id, the key. */
    static final class Publisher implements Closeable {
        private final Lab lab;
        private final String name;
        private final Link link;
        private final Map<Long, String> byTag = new ConcurrentHashMap<>();
        /** The confirm of each message-id: ack or nack. */
        final Map<String, String> confirms = new ConcurrentHashMap<>();
        private long tag;

        Publisher(Lab lab, String name, int port, String user, String password) throws IOException {
            this.lab = lab;
            this.name = name;
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            socket.setSoTimeout(20_000);
            link = new Link(socket);
            lab.track(this);
            link.out.write(PROTOCOL);
            link.expect(10_010);
            link.method(0, 10_011, o -> {
                o.writeInt(0);
                shortText(o, "PLAIN");
                longBytes(o, ("\0" + user + "\0" + password).getBytes(StandardCharsets.UTF_8));
                shortText(o, "en_US");
            });
            DataInputStream tune = link.expect(10_030).in();
            tune.skipBytes(4);
            int channels = tune.readUnsignedShort();
            int frame = tune.readInt();
            link.method(0, 10_031, o -> {
                o.writeShort(channels);
                o.writeInt(frame);
                o.writeShort(0);
            });
            link.method(0, 10_040, o -> {
                shortText(o, "/");
                o.writeShort(0);
            });
            link.expect(10_041);
            link.method(1, 20_010, o -> shortText(o, ""));
            link.expect(20_011);
            link.method(1, 85_010, o -> o.writeByte(0));
            link.expect(85_011);
            Lab.thread(this::readConfirms);
        }

        private void readConfirms() {
            try {
                while (true) {
                    Frame frame = link.read();
                    int method = frame.type == METHOD ? frame.method() : 0;
                    if (method == 60_080 || method == 60_120) {
                        DataInputStream in = frame.in();
                        in.skipBytes(4);
                        long last = in.readLong();
                        boolean multiple = (in.readUnsignedByte() & 1) != 0;
                        String confirm = method == 60_080 ? "ack" : "nack";
                        for (Map.Entry<Long, String> e : byTag.entrySet()) {
                            if (multiple ? e.getKey() <= last : e.getKey() == last) {
                                byTag.remove(e.getKey());
                                confirms.put(e.getValue(), confirm);
                                lab.note("publisher " + name + ": " + e.getValue() + " " + confirm);
                            }
                        }
                    } else if (method == 60_050) {
                        DataInputStream in = frame.in();
                        in.skipBytes(4);
                        lab.note("publisher " + name + ": returned, " + in.readUnsignedShort() + " " + shortText(in));
                    }
                }
            } catch (IOException e) {
                lab.note("publisher " + name + ": the connection ended");
            }
        }

        synchronized void publish(String exchange, String key, String id, long expirationMs) throws IOException {
            byTag.put(++tag, id);
            link.content(60_040, o -> {
                o.writeShort(0);
                shortText(o, exchange);
                shortText(o, key);
                o.writeByte(0);
            }, o -> {
                // correlation-id, expiration, message-id
                o.writeShort(1 << 10 | 1 << 8 | 1 << 7);
                shortText(o, "key-" + id);
                shortText(o, Long.toString(expirationMs));
                shortText(o, id);
            }, ("order " + id).getBytes(StandardCharsets.UTF_8));
        }

        /** The connection breaks. */
        @Override
        public void close() throws IOException {
            link.socket.setSoLinger(true, 0);
            link.close();
        }
    }

    /** A broker that senders publish to with confirms: a subclass decides what becomes of each message. */
    abstract static class Broker implements Closeable {
        private final ServerSocket listener;
        private volatile Link link;
        private long tag;

        Broker(Lab lab) throws IOException {
            listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
            lab.track(this);
        }

        int port() {
            return listener.getLocalPort();
        }

        void start() {
            Lab.thread(() -> {
                while (true) {
                    try {
                        Link accepted = new Link(listener.accept());
                        Lab.thread(() -> serve(accepted));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Link from) {
            try (from) {
                from.in.readNBytes(PROTOCOL.length);
                from.method(0, 10_010, o -> {
                    o.writeByte(0);
                    o.writeByte(9);
                    o.writeInt(0);
                    longBytes(o, "PLAIN".getBytes(StandardCharsets.US_ASCII));
                    longBytes(o, "en_US".getBytes(StandardCharsets.US_ASCII));
                });
                from.expect(10_011);
                from.method(0, 10_030, o -> {
                    o.writeShort(64);
                    o.writeInt(131_072);
                    o.writeShort(0);
                });
                from.expect(10_031);
                from.expect(10_040);
                from.method(0, 10_041, o -> shortText(o, ""));
                from.expect(20_010);
                from.method(1, 20_011, o -> o.writeInt(0));
                from.expect(85_010);
                from.method(1, 85_011, o -> { });
                link = from;
                tag = 0;
                while (true) {
                    readPublish(from);
                }
            } catch (IOException e) {
                // The sender has closed the connection, or the case is over.
            }
        }

        private void readPublish(Link from) throws IOException {
            Frame publish = from.read();
            if (publish.type != METHOD || publish.method() != 60_040) {
                throw new EOFException();
            }
            DataInputStream header = from.read().in();
            header.skipBytes(4);
            long size = header.readLong();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (body.size() < size) {
                body.writeBytes(from.read().payload);
            }
            published(++tag, body.toString(StandardCharsets.UTF_8), messageId(header));
        }

        private static String messageId(DataInputStream in) throws IOException {
            int flags = in.readUnsignedShort();
            String id = "";
            for (int bit = 15; bit >= 7; bit--) {
                if ((flags & 1 << bit) == 0) {
                    continue;
                }
                if (bit == 13) {
                    in.skipBytes(in.readInt());
                } else if (bit == 12 || bit == 11) {
                    in.readUnsignedByte();
                } else {
                    id = shortText(in);
                }
            }
            return (flags & 1 << 7) != 0 ? id : "";
        }

        /** A message was published under this tag; called on the connection's thread. */
        abstract void published(long tag, String body, String messageId) throws IOException;

        void ack(long of) throws IOException {
            link.method(1, 60_080, o -> {
                o.writeLong(of);
                o.writeByte(0);
            });
        }

        /** Returns a message as refused, with the time after which it may come again, and nacks it. */
        void refuse(long of, String messageId, String key, long waitMs) throws IOException {
            link.content(60_050, o -> {
                o.writeShort(506);
                shortText(o, "could not be delivered, and did not run");
                shortText(o, "orders");
                shortText(o, key);
            }, o -> {
                o.writeShort(1 << 13 | 1 << 7);
                ByteArrayOutputStream table = new ByteArrayOutputStream();
                DataOutputStream t = new DataOutputStream(table);
                shortText(t, "x-slipfield-end");
                t.writeByte('S');
                longBytes(t, "refused".getBytes(StandardCharsets.US_ASCII));
                shortText(t, "x-slipfield-retry-after-ms");
                t.writeByte('l');
                t.writeLong(waitMs);
                longBytes(o, table.toByteArray());
                shortText(o, messageId);
            }, new byte[0]);
            link.method(1, 60_120, o -> {
                o.writeLong(of);
                o.writeByte(0);
            });
        }

        @Override
        public void close() throws IOException {
            listener.close();
            if (link != null) {
                link.close();
            }
        }
    }
}
