package review2;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/** As much of AMQP 0-9-1 as the cases need, from its specification: a publisher with confirms. */
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
        synchronized void content(int channel, int method, Writer arguments, Writer properties, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(frame(METHOD, channel, methodWriter(method, arguments)));
            all.writeBytes(frame(HEADER, channel, o -> {
                o.writeShort(60);
                o.writeShort(0);
                o.writeLong(body.length);
                properties.write(o);
            }));
            if (body.length > 0) {
                all.writeBytes(frame(BODY, channel, o -> o.write(body)));
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
        /** Message-ids without a confirm, by channel and tag. */
        private final Map<Integer, Map<Long, String>> byTag = new ConcurrentHashMap<>();
        private final Map<Integer, Long> tags = new ConcurrentHashMap<>();
        /** The confirm of each message-id: ack or nack, before it what its return said. */
        final Map<String, String> confirms = new ConcurrentHashMap<>();
        private final Map<String, String> returns = new ConcurrentHashMap<>();
        private final java.util.concurrent.BlockingQueue<Integer> opened = new java.util.concurrent.LinkedBlockingQueue<>();

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
            Lab.thread(this::readConfirms);
            open(1);
        }

        /** Opens a channel in confirm mode. */
        void open(int channel) throws IOException {
            byTag.put(channel, new ConcurrentHashMap<>());
            tags.put(channel, 0L);
            link.method(channel, 20_010, o -> shortText(o, ""));
            link.method(channel, 85_010, o -> o.writeByte(0));
            try {
                if (opened.poll(5, java.util.concurrent.TimeUnit.SECONDS) == null) {
                    throw new IOException("the channel was not opened");
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /** Closes a channel; nothing is heard of what is unconfirmed on it. */
        void closeChannel(int channel) throws IOException {
            link.method(channel, 20_040, o -> {
                o.writeShort(200);
                shortText(o, "bye");
                o.writeShort(0);
                o.writeShort(0);
            });
        }

        private void readConfirms() {
            try {
                while (true) {
                    Frame frame = link.read();
                    int method = frame.type == METHOD ? frame.method() : 0;
                    if (method == 85_011) {
                        opened.add(frame.channel);
                    } else if (method == 60_080 || method == 60_120) {
                        DataInputStream in = frame.in();
                        in.skipBytes(4);
                        confirmed(byTag.get(frame.channel), in.readLong(), (in.readUnsignedByte() & 1) != 0,
                                method == 60_080 ? "ack" : "nack");
                    } else if (method == 60_050) {
                        DataInputStream in = frame.in();
                        in.skipBytes(4);
                        returned(in.readUnsignedShort() + " " + shortText(in), new String(link.read().payload, StandardCharsets.UTF_8));
                    } else if (method == 10_050) {
                        lab.note("publisher " + name + ": the sender closes the connection");
                    }
                }
            } catch (IOException e) {
                lab.note("publisher " + name + ": the connection ended");
            }
        }

        private void confirmed(Map<Long, String> unconfirmed, long last, boolean multiple, String confirm) {
            for (Map.Entry<Long, String> e : unconfirmed.entrySet()) {
                if (multiple ? e.getKey() <= last : e.getKey() == last) {
                    unconfirmed.remove(e.getKey());
                    String id = e.getValue();
                    confirms.put(id, returns.getOrDefault(id, "") + confirm);
                    lab.note("publisher " + name + ": " + id + " " + confirms.get(id));
                }
            }
        }

        /** {@code header}: the content header, which has the message-id and the header that says what the end is. */
        private void returned(String why, String header) {
            for (Map<Long, String> unconfirmed : byTag.values()) {
                unconfirmed.values().stream().filter(header::contains).forEach(id -> returns.put(id,
                        (header.contains("refused") ? "refused" : header.contains("failed") ? "failed" : "returned")
                                + " (" + why + "), "));
            }
        }

        void publish(String exchange, String key, String id, long expirationMs) throws IOException {
            publish(1, exchange, key, id, expirationMs);
        }

        synchronized void publish(int channel, String exchange, String key, String id, long expirationMs) throws IOException {
            byTag.get(channel).put(tags.merge(channel, 1L, Long::sum), id);
            link.content(channel, 60_040, o -> {
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
}
