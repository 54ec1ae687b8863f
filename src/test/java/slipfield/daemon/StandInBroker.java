package slipfield.daemon;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.FrameDecoder;
import slipfield.amqp.codec.FrameEncoder;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;

/**
 * A broker of AMQP 0-9-1 with one queue, as far as its consumers need it. Messages go to the consumers in turn. What was requeued,
 * or not settled on a connection that was lost, is delivered again to any of them as {@code redelivered}.
 */
final class StandInBroker implements AutoCloseable {
    private static final long FRAME_MAX = 131_072;

    /** A message in the queue. */
    private static final class Message {
        private final Properties properties;
        private final byte[] body;
        private boolean redelivered;

        Message(Properties properties, byte[] body) {
            this.properties = properties;
            this.body = body;
        }
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Deque<Message> queue = new ArrayDeque<>();
    /** The consumers, the one whose turn is next first. */
    private final Deque<Consumer> consumers = new ArrayDeque<>();
    private final List<Consumer> connections = new ArrayList<>();
    private int requeued;
    private int rejected;

    StandInBroker() throws IOException {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Consumer consumer = new Consumer(server.accept());
                    Thread reading = new Thread(consumer::serve, "broker");
                    reading.setDaemon(true);
                    reading.start();
                }
            } catch (IOException e) {
                // The broker was closed.
            }
        }, "broker-accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void publish(Properties properties) {
        queue.addLast(new Message(properties, new byte[10]));
        deliver();
    }

    synchronized int consumers() {
        return consumers.size();
    }

    /** The number of messages that are not settled. */
    synchronized int left() {
        return queue.size() + consumers.stream().mapToInt(c -> c.unsettled.size()).sum();
    }

    synchronized int rejected() {
        return rejected;
    }

    synchronized int requeued() {
        return requeued;
    }

    /** Resets the connection of the consumer that connected first and is still connected. */
    synchronized void resetOldest() throws IOException {
        connections.get(0).socket.setSoLinger(true, 0);
        connections.get(0).lost();
    }

    private void deliver() {
        int full = 0;
        while (!queue.isEmpty() && full < consumers.size()) {
            Consumer next = consumers.removeFirst();
            consumers.addLast(next);
            if (next.unsettled.size() >= next.prefetch) {
                full++;
                continue;
            }
            full = 0;
            next.deliver(queue.removeFirst());
        }
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        for (Consumer consumer : List.copyOf(connections)) {
            consumer.socket.close();
        }
    }

    private final class Consumer {
        private final Socket socket;
        private final EmbeddedChannel encoder = new EmbeddedChannel(new FrameEncoder());
        private final EmbeddedChannel decoder;
        private final TreeMap<Long, Message> unsettled = new TreeMap<>();
        private long prefetch;
        private String tag = "";
        private long lastDelivery;

        Consumer(Socket socket) {
            this.socket = socket;
            FrameDecoder frames = new FrameDecoder(true);
            frames.frameMax((int) FRAME_MAX);
            this.decoder = new EmbeddedChannel(frames);
        }

        private void serve() {
            byte[] read = new byte[8192];
            try {
                for (int length = socket.getInputStream().read(read); length >= 0; length = socket.getInputStream().read(read)) {
                    decoder.writeInbound(Unpooled.copiedBuffer(read, 0, length));
                    for (Object frame = decoder.readInbound(); frame != null; frame = decoder.readInbound()) {
                        handle((Frame) frame);
                    }
                }
            } catch (IOException e) {
                // The connection was lost.
            }
            synchronized (StandInBroker.this) {
                lost();
            }
        }

        private void handle(Frame frame) {
            synchronized (StandInBroker.this) {
                if (frame instanceof Frame.ProtocolHeader) {
                    send(0, MethodId.CONNECTION_START, 0, 9, Map.of(), "PLAIN", "en_US");
                } else if (frame instanceof Frame.OfMethod m) {
                    handle(m.method());
                }
            }
        }

        private void handle(Method m) {
            switch (m.id()) {
                case CONNECTION_START_OK -> send(0, MethodId.CONNECTION_TUNE, 0, FRAME_MAX, 0);
                case CONNECTION_OPEN -> send(0, MethodId.CONNECTION_OPEN_OK, "");
                case CHANNEL_OPEN -> send(1, MethodId.CHANNEL_OPEN_OK, "");
                case BASIC_QOS -> {
                    prefetch = m.number("prefetch-count");
                    send(1, MethodId.BASIC_QOS_OK);
                }
                case BASIC_CONSUME -> {
                    tag = m.text("consumer-tag");
                    send(1, MethodId.BASIC_CONSUME_OK, tag);
                    connections.add(this);
                    consumers.addLast(this);
                }
                case BASIC_CANCEL -> prefetch = 0;
                case BASIC_ACK -> unsettled.remove(m.number("delivery-tag"));
                case BASIC_REJECT -> {
                    Message message = unsettled.remove(m.number("delivery-tag"));
                    if (m.flag("requeue")) {
                        requeued++;
                        requeue(message);
                    } else {
                        rejected++;
                    }
                }
                default -> { }
            }
            StandInBroker.this.deliver();
        }

        private void deliver(Message message) {
            unsettled.put(++lastDelivery, message);
            send(new Frame.Content(1, Method.of(MethodId.BASIC_DELIVER, tag, lastDelivery, message.redelivered, "", "once"),
                    message.properties, message.body));
        }

        private void requeue(Message message) {
            message.redelivered = true;
            queue.addFirst(message);
        }

        /** Makes the connection's messages available to others. */
        private void lost() {
            connections.remove(this);
            consumers.remove(this);
            unsettled.descendingMap().values().forEach(this::requeue);
            unsettled.clear();
            try {
                socket.close();
            } catch (IOException e) {
                // It is lost already.
            }
            StandInBroker.this.deliver();
        }

        private void send(int channel, MethodId id, Object... arguments) {
            send(new Frame.OfMethod(channel, Method.of(id, arguments)));
        }

        private void send(Frame frame) {
            encoder.writeOutbound(frame);
            for (ByteBuf part = encoder.readOutbound(); part != null; part = encoder.readOutbound()) {
                byte[] bytes = new byte[part.readableBytes()];
                part.readBytes(bytes);
                part.release();
                try {
                    socket.getOutputStream().write(bytes);
                } catch (IOException e) {
                    // Its thread notices that the connection was lost.
                }
            }
        }
    }
}
