package slipfield.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** What stand-ins have in common that are asked over HTTP: a loopback socket, and whole requests. */
final class HttpServer implements AutoCloseable {
    private static final int LONGEST = 1 << 20;

    /** Does something about a request. */
    interface Handler {
        void asked(Channel channel, FullHttpRequest request);
    }

    private final Channel listener;

    /** Listens on this port of the loopback, or on a free one where it is 0. */
    HttpServer(EventLoopGroup group, int port, Handler handler) {
        this(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), handler);
    }

    /** Listens at this address. */
    HttpServer(EventLoopGroup group, InetSocketAddress address, Handler handler) {
        listener = new ServerBootstrap().group(group).channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST),
                                new SimpleChannelInboundHandler<FullHttpRequest>() {
                                    @Override
                                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                        handler.asked(ctx.channel(), request);
                                    }

                                    @Override
                                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable gone) {
                                        ctx.close();
                                    }
                                });
                    }
                })
                .bind(address).syncUninterruptibly().channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    static FullHttpResponse response(int status, String body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        if (status != 204) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        }
        return response;
    }

    static ChannelFuture answer(Channel channel, int status, String body) {
        return channel.writeAndFlush(response(status, body));
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }
}
