import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for a publisher over AMQP 0-9-1: one connection with one channel in confirm mode. It keeps which of its messages were
 * confirmed, and how.
 */
final class AmqpPublisher implements Closeable {
    private static final int ACK = 60_080;
    private static final int NACK = 60_120;
    private static final int MOST_TRIES = 50;

    private final AmqpWire wire;
    /** Messages without a confirm, by delivery tag. */
    private final TreeMap<Long, String> unconfirmed = new TreeMap<>();
    /** How each confirmed message ended: true for an ack. */
    private final Map<String, Boolean> confirmed;
    private long lastTag;

    /** Connects, again after a pause where the port is not open yet, and logs in. */
    static AmqpPublisher connect(int port, String user, String password, Map<String, Boolean> confirmed) throws IOException {
        for (int tries = 1;; tries++) {
            try {
                return new AmqpPublisher(port, user, password, confirmed);
            } catch (ConnectException refused) {
                if (tries == MOST_TRIES) {
                    throw refused;
                }
                World.sleep(100);
            }
        }
    }

    /** {@code confirmed} gets the message-ids that are confirmed. */
    private AmqpPublisher(int port, String user, String password, Map<String, Boolean> confirmed) throws IOException {
        this.confirmed = confirmed;
        wire = new AmqpWire(new Socket("127.0.0.1", port));
        wire.socket.setSoTimeout(20_000);
        wire.out.write("AMQP\0\0\11\1".getBytes(StandardCharsets.ISO_8859_1));
        await(10_010);
        wire.send(0, 10_011, m -> {
            m.writeInt(0);
            AmqpWire.text(m, "PLAIN");
            AmqpWire.longText(m, "\0" + user + "\0" + password);
            AmqpWire.text(m, "en_US");
        });
        DataInputStream tune = await(10_030);
        int channels = tune.readUnsignedShort();
        int frame = tune.readInt();
        wire.send(0, 10_031, m -> {
            m.writeShort(channels);
            m.writeInt(frame);
            m.writeShort(0);
        });
        wire.send(0, 10_040, m -> {
            AmqpWire.text(m, "/");
            AmqpWire.text(m, "");
            m.writeByte(0);
        });
        await(10_041);
        wire.send(1, 20_010, m -> AmqpWire.text(m, ""));
        await(20_011);
        wire.send(1, 85_010, m -> m.writeByte(0));
        await(85_011);
        wire.socket.setSoTimeout(0);
        World.thread(() -> {
            while (true) {
                confirm(wire.next());
            }
        });
    }

    private DataInputStream await(int id) throws IOException {
        AmqpWire.Method received = wire.next();
        if (received.id() != id) {
            throw new IOException("method " + received.id() + " in place of " + id);
        }
        return received.arguments();
    }

    private synchronized void confirm(AmqpWire.Method received) throws IOException {
        if (received.id() != ACK && received.id() != NACK) {
            return;
        }
        long tag = received.arguments().readLong();
        boolean multiple = (received.arguments().readByte() & 1) != 0;
        Map<Long, String> settled = multiple ? unconfirmed.headMap(tag, true) : unconfirmed.subMap(tag, true, tag, true);
        settled.values().forEach(id -> confirmed.put(id, received.id() == ACK));
        settled.clear();
    }

    synchronized int unconfirmed() {
        return unconfirmed.size();
    }

    /** Publishes a message with this message-id, which is the key of its order too, and this time to live. */
    synchronized void publish(String exchange, String key, String messageId, long expirationMs, String body) throws IOException {
        unconfirmed.put(++lastTag, messageId);
        wire.send(1, 60_040, m -> {
            m.writeShort(0);
            AmqpWire.text(m, exchange);
            AmqpWire.text(m, key);
            m.writeByte(0);
        });
        wire.sendContent(1, messageId, Long.toString(expirationMs), messageId, body);
    }

    @Override
    public void close() throws IOException {
        wire.socket.close();
    }
}
