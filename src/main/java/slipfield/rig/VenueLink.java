package slipfield.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import slipfield.rig.plan.Conditions;
import slipfield.rig.plan.Links.Door;
import slipfield.rig.plan.Wire;
import slipfield.standin.PortLease;

/**
 * The link between one sender and one venue: a listener that the sender is told is the venue, and for each connection to it one
 * to the venue. Each direction has its own {@link Wire}. What a held direction has taken is dropped if its writer closes
 * meanwhile: on a real network the writer's system has then forgotten it. A connection to a held link comes up, as the system
 * accepts it, and hears nothing until it is whole again. All state belongs to the loop.
 */
final class VenueLink implements AutoCloseable {
    private static final long BIND_AGAIN_MS = 5;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final PortLease port;
    private final RandomGenerator random;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;
    private Conditions toVenue = Conditions.WHOLE;
    private Conditions back = Conditions.WHOLE;
    private Door door = Door.OPEN;
    private boolean closed;

    /** Listens on a free port; all chance comes from {@code random}. */
    VenueLink(EventLoop loop, InetSocketAddress target, RandomGenerator random) throws IOException {
        this.loop = loop;
        this.target = target;
        this.random = random;
        this.port = PortLease.take();
        listener = bind().syncUninterruptibly().channel();
    }

    private ChannelFuture bind() {
        return new ServerBootstrap().group(loop).channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.up);
                        connections.add(connection);
                        connection.connect();
                    }
                }).bind(port.address());
    }

    /** Where the sender finds the venue. */
    InetSocketAddress address() {
        return port.address();
    }

    /** From now on it is so; on any thread. */
    void set(Conditions nextToVenue, Conditions nextBack, Door nextDoor) {
        loop.execute(() -> {
            toVenue = nextToVenue;
            back = nextBack;
            boolean refused = door == Door.REFUSING;
            door = nextDoor;
            if (door == Door.REFUSING && !refused) {
                listener.close();
            }
            if (door != Door.OPEN) {
                List.copyOf(connections).forEach(Connection::reset);
            }
            if (refused && door != Door.REFUSING) {
                listen();
            }
            List.copyOf(connections).forEach(Connection::changed);
        });
    }

    private void listen() {
        bind().addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                listener = bound.channel();
            } else if (!closed) {
                loop.schedule(this::listen, BIND_AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Connections of the sender that stand. */
    int standing() {
        return loop.submit(connections::size).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        loop.submit(() -> {
            closed = true;
            listener.close();
            List.copyOf(connections).forEach(Connection::reset);
        }).syncUninterruptibly();
        port.close();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** A sender's connection, and the one to the venue that stands for it. */
    private final class Connection {
        private final Channel front;
        private final Pipe up = new Pipe();
        private final Pipe down = new Pipe();
        private boolean dialled;

        Connection(Channel front) {
            this.front = front;
            down.to = front;
            up.wire.conditions(toVenue);
            down.wire.conditions(back);
        }

        /** Both directions carry a handshake. */
        void connect() {
            if (door == Door.RESETTING) {
                reset();
            } else if (!dialled && !up.wire.held() && !down.wire.held()) {
                dialled = true;
                new Bootstrap().group(loop).channelFactory(NioSocketChannel::new).option(ChannelOption.TCP_NODELAY, true)
                        .handler(down).connect(target).addListener((ChannelFuture dial) -> {
                            if (dial.isSuccess()) {
                                up.to = dial.channel();
                                up.flush();
                            } else {
                                reset();
                            }
                        });
            }
        }

        void changed() {
            up.wire.conditions(toVenue);
            down.wire.conditions(back);
            connect();
            up.flush();
            down.flush();
        }

        void reset() {
            connections.remove(this);
            for (Pipe pipe : List.of(up, down)) {
                pipe.drop();
                if (pipe.to != null && pipe.to.isOpen()) {
                    pipe.to.config().setOption(ChannelOption.SO_LINGER, 0);
                    pipe.to.close();
                }
            }
        }

        /** One direction: what is read at its one end is written at the other when its wire lets it. */
        private final class Pipe extends ChannelInboundHandlerAdapter {
            private final Wire wire = new Wire(random);
            private final Deque<ByteBuf> waiting = new ArrayDeque<>();
            private Channel to;
            private boolean ended;

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object piece) {
                waiting.add((ByteBuf) piece);
                flush();
            }

            /** Its writer has closed. */
            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                ended = true;
                if (wire.held() || to == null) {
                    drop();
                }
                flush();
                connections.remove(Connection.this);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A reset passes on as one.
                reset();
            }

            void flush() {
                while (to != null && !wire.held() && !waiting.isEmpty()) {
                    ByteBuf piece = waiting.remove();
                    later(wire.stream(nowMs(), piece.readableBytes()), () -> to.writeAndFlush(piece));
                }
                if (ended && to != null && !wire.held()) {
                    later(wire.stream(nowMs(), 0), () -> to.close());
                } else if (ended && to == null && !dialled) {
                    front.close();
                }
            }

            private void later(double atMs, Runnable step) {
                loop.schedule(step, Math.max(0, (long) ((atMs - nowMs()) * 1e6)), TimeUnit.NANOSECONDS);
            }

            void drop() {
                waiting.forEach(ByteBuf::release);
                waiting.clear();
            }
        }
    }
}
