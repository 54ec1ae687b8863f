import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/**
 * A stand-in for a broker of AMQP 0-9-1 with one queue, as far as its consumers need it. It behaves as brokers do: messages go to
 * the consumers in turn; a delivery that is acknowledged, or rejected without requeue, leaves the queue; a requeued one, and each
 * one that was out when its connection was lost, is delivered again, to any consumer, with the flag {@code redelivered}.
 */
final class AmqpBroker implements Closeable {
    /** A message of the queue. */
    static final class Message {
        final String body;
        final String correlationId;
        final String messageId;
        boolean redelivered;

        Message(String body, String correlationId, String messageId) {
            this.body = body;
            this.correlationId = correlationId;
            this.messageId = messageId;
        }
    }

    private final World world;
    private final String queue;
    private final ServerSocket server = World.listen(0);
    private final Deque<Message> waiting = new ArrayDeque<>();
    /** The links with a consumer; the next message goes to the first one that may have it. */
    private final Deque<Link> links = new ArrayDeque<>();
    private int lastLink;
    private int acked;
    private int rejected;

    AmqpBroker(World world, String queue) throws IOException {
        this.world = world;
        this.queue = queue;
        World.thread(() -> {
            while (true) {
                Socket socket = server.accept();
                World.thread(() -> new Link(new AmqpWire(socket)).serve());
            }
        });
        world.closeLater(this);
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void publish(Message message) throws IOException {
        waiting.addLast(message);
        deliver();
    }

    /** How many consumers there are. */
    synchronized int consumers() {
        return links.size();
    }

    /** How many messages are not settled. */
    synchronized int left() {
        return waiting.size() + links.stream().mapToInt(link -> link.unsettled.size()).sum();
    }

    synchronized int acked() {
        return acked;
    }

    synchronized int rejected() {
        return rejected;
    }

    /** Resets the connection of the consumer that came first. */
    synchronized void resetFirst() throws IOException {
        Link lost = links.stream().filter(link -> link.number == 1).findFirst().orElseThrow();
        world.note("broker     the connection of consumer 1 is reset, %d deliveries are out on it", lost.unsettled.size());
        lost.lost();
        lost.wire.reset();
    }

    /** Delivers to the consumers in turn, as far as their prefetch counts allow. */
    private void deliver() throws IOException {
        int full = 0;
        while (!waiting.isEmpty() && full < links.size()) {
            Link next = links.removeFirst();
            links.addLast(next);
            if (next.unsettled.size() < next.prefetch) {
                next.deliver(waiting.removeFirst());
                full = 0;
            } else {
                full++;
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        for (Link open : links) {
            open.wire.socket.close();
        }
    }

    private final class Link {
        private final AmqpWire wire;
        private final TreeMap<Long, Message> unsettled = new TreeMap<>();
        private long lastTag;
        private int prefetch = Integer.MAX_VALUE;
        private String consumer = "";
        private int number;

        Link(AmqpWire wire) {
            this.wire = wire;
        }

        void serve() throws IOException {
            try (wire.socket) {
                wire.in.readNBytes(8);
                wire.send(0, 10_010, m -> {
                    m.writeByte(0);
                    m.writeByte(9);
                    m.writeInt(0);
                    AmqpWire.longText(m, "PLAIN");
                    AmqpWire.longText(m, "en_US");
                });
                while (true) {
                    handle(wire.next());
                }
            } finally {
                lost();
            }
        }

        /** Deliveries that are out go back to the head of the queue, in their order. */
        void lost() {
            synchronized (AmqpBroker.this) {
                for (Message message : unsettled.descendingMap().values()) {
                    message.redelivered = true;
                    waiting.addFirst(message);
                }
                unsettled.clear();
                if (links.remove(this)) {
                    try {
                        AmqpBroker.this.deliver();
                    } catch (IOException e) {
                        // That consumer's own thread notices that it has gone.
                    }
                }
            }
        }

        private void handle(AmqpWire.Method method) throws IOException {
            DataInputStream m = method.arguments();
            switch (method.id()) {
                case 10_011 -> wire.send(0, 10_030, t -> {
                    t.writeShort(64);
                    t.writeInt(131_072);
                    t.writeShort(0);
                });
                case 10_040 -> wire.send(0, 10_041, t -> t.writeByte(0));
                case 10_050 -> wire.send(0, 10_051, t -> { });
                case 20_010 -> wire.send(method.channel(), 20_011, t -> t.writeInt(0));
                case 60_010 -> {
                    m.readInt();
                    int count = m.readUnsignedShort();
                    prefetch = count == 0 ? Integer.MAX_VALUE : count;
                    wire.send(method.channel(), 60_011, t -> { });
                }
                case 60_020 -> consume(method.channel(), m);
                case 60_080 -> settle(m.readLong(), "ack");
                case 60_090 -> settle(m.readLong(), m.readByte() != 0 ? "reject with requeue" : "reject");
                default -> { }
            }
        }

        private void consume(int channel, DataInputStream m) throws IOException {
            m.readUnsignedShort();
            AmqpWire.text(m);
            consumer = AmqpWire.text(m);
            wire.send(channel, 60_021, t -> AmqpWire.text(t, consumer));
            synchronized (AmqpBroker.this) {
                number = ++lastLink;
                links.addLast(this);
                world.note("broker     has consumer %d on queue %s", number, queue);
                AmqpBroker.this.deliver();
            }
        }

        private void settle(long tag, String how) throws IOException {
            synchronized (AmqpBroker.this) {
                Message message = unsettled.remove(tag);
                if (message == null) {
                    return;
                }
                world.note("broker     hears %s for %s of consumer %d", how, message.body, number);
                if (how.equals("ack")) {
                    acked++;
                } else if (how.equals("reject")) {
                    rejected++;
                } else {
                    message.redelivered = true;
                    waiting.addFirst(message);
                }
                AmqpBroker.this.deliver();
            }
        }

        private void deliver(Message message) throws IOException {
            long tag = ++lastTag;
            unsettled.put(tag, message);
            world.note("broker     delivers %s to consumer %d, message-id=%s redelivered=%s", message.body, number,
                    message.messageId, message.redelivered);
            wire.send(1, 60_060, m -> {
                AmqpWire.text(m, consumer);
                m.writeLong(tag);
                m.writeByte(message.redelivered ? 1 : 0);
                AmqpWire.text(m, "");
                AmqpWire.text(m, queue);
            });
            wire.sendContent(1, message.correlationId, "", message.messageId, message.body);
        }
    }
}
