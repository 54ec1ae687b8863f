package slipfield.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What a relay costs that owes nothing: it keeps nothing, decides nothing (round robin, three tries), and answers a desk
 * when a venue has. The yardstick beside which the sender's orders a second are told. One event loop.
 */
public final class Baseline implements AutoCloseable {
    private static final int TRIES = 3;
    private static final int CONNECT_MS = 1000;
    private static final int LONGEST = 1 << 16;

    private final EventLoop loop;
    private final HttpServer server;
    private final List<Pool> pools = new ArrayList<>();
    private int turn;

    /** Listens at this address, before these venues. */
    public Baseline(EventLoop loop, InetSocketAddress listen, List<InetSocketAddress> venues) {
        this.loop = loop;
        venues.forEach(v -> pools.add(new Pool(v)));
        server = new HttpServer(loop, listen, (channel, request) -> new Order(channel, request.retain()).send());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    /** A venue and the connections to it that stand idle. */
    private final class Pool {
        private final Deque<Channel> idle = new ArrayDeque<>();
        private final Bootstrap bootstrap;

        private Pool(InetSocketAddress venue) {
            bootstrap = new Bootstrap().group(loop).channelFactory(NioSocketChannel::new).remoteAddress(venue)
                    .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LONGEST),
                                    new Venues(Pool.this));
                        }
                    });
        }

        private void send(Order order) {
            Channel kept = idle.poll();
            while (kept != null && !kept.isActive()) {
                kept = idle.poll();
            }
            if (kept != null) {
                write(kept, order);
                return;
            }
            bootstrap.connect().addListener((ChannelFuture f) -> {
                if (f.isSuccess()) {
                    write(f.channel(), order);
                } else {
                    order.send();
                }
            });
        }

        private void write(Channel channel, Order order) {
            channel.pipeline().get(Venues.class).order = order;
            channel.writeAndFlush(order.request.retainedDuplicate());
        }
    }

    /** A desk's order until it is answered. */
    private final class Order {
        private final Channel desk;
        private final FullHttpRequest request;
        private int tries;

        private Order(Channel desk, FullHttpRequest request) {
            this.desk = desk;
            this.request = request;
        }

        private void send() {
            if (tries++ < TRIES) {
                pools.get(turn++ % pools.size()).send(this);
            } else {
                end(503);
            }
        }

        private void end(int status) {
            request.release();
            HttpServer.answer(desk, status, "");
        }
    }

    /** The answers on one connection to a venue. */
    private static final class Venues extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Order order;

        private Venues(Pool pool) {
            this.pool = pool;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Order answered = order;
            order = null;
            if (HttpUtil.isKeepAlive(answer) && answer.decoderResult().isSuccess()) {
                pool.idle.push(ctx.channel());
            } else {
                ctx.close();
            }
            if (answered == null) {
                return;
            }
            if (answer.status().code() == 200) {
                answered.end(200);
            } else {
                answered.send();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.idle.remove(ctx.channel());
            if (order != null) {
                Order broken = order;
                order = null;
                broken.send();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable gone) {
            ctx.close();
        }
    }
}
