package kestreldeal.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kestreldeal.BadInput;

/**
 * The client side: checks what is handed in, and answers it. A message is journalled before its 202 is
 * written, and told to the module once that is out; what can't be taken is refused, and bad input is
 * answered without harm to anything else.
 */
final class Intake {
    private static final int LONGEST_BODY = 64 * 1024;
    /** A connection without traffic for so long is closed, lest half a request hold it for good. */
    private static final int IDLE_S = 60;

    /** What a request asks to be delivered. */
    record Submission(String id, String messageClass, String tenant, Optional<String> key, long destination,
                      long budgetMs, byte[] body) {
    }

    /** The sender's side of a request. */
    interface Desk {
        /** Whether messages can be taken now. */
        boolean ready();

        /** Whether the module knows this class; the path names it too. */
        boolean knowsClass(String name);

        boolean knowsTenant(String name);

        boolean needsKey(String messageClass);

        /** Journals a message, or refuses it by an empty answer; a message that is held already is kept. */
        Optional<Held> take(Submission submission);

        /** The client has heard that it was taken, or never will. */
        void answered(Held held, boolean heard);
    }

    private final Desk desk;
    private final int mostClients;
    /** Connections between requests, the longest idle first. */
    private final Set<Channel> idle = new LinkedHashSet<>();
    private final ServerBootstrap bootstrap;
    private Channel listener;
    private int clients;
    private boolean closing;

    Intake(EventLoop loop, int mostClients, Desk desk) {
        this.desk = desk;
        this.mostClients = mostClients;
        bootstrap = new ServerBootstrap().group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S), new HttpServerCodec(),
                                new Bodies(), new Client());
                    }
                });
    }

    /** Begins to listen, and waits until it does: so it is not called on the loop. */
    InetSocketAddress listen(InetSocketAddress address) {
        listener = bootstrap.bind(address).syncUninterruptibly().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Takes no new connection, and ends each that stands with the answer to its next request. None is closed
     * between requests: one that is on its way to it would be ended without an answer.
     */
    void close() {
        closing = true;
        listener.close();
    }

    /** Connections that clients have open. */
    int clients() {
        return clients;
    }

    /** Collects bodies; a longer one is answered 413, and what the client still sends is read and dropped. */
    private static final class Bodies extends HttpObjectAggregator {
        Bodies() {
            super(LONGEST_BODY);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            FullHttpResponse answer = answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 64 KiB");
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            // Closing at once would reset the connection under a client that still sends, before it reads.
            ctx.writeAndFlush(answer).addListener(f -> ctx.executor().schedule(() -> ctx.close(), 1,
                    TimeUnit.SECONDS));
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            // The sockets are limited: the longest idle client makes room, which it may be asked to.
            if (++clients > mostClients) {
                Channel victim = idle.isEmpty() ? ctx.channel() : idle.iterator().next();
                victim.close();
            }
            if (ctx.channel().isActive()) {
                idle.add(ctx.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            clients--;
            idle.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            idle.remove(ctx.channel());
            String path = request.uri().split("\\?", 2)[0];
            if (request.decoderResult().isFailure()) {
                end(ctx, request, HttpResponseStatus.BAD_REQUEST, "not HTTP", true);
            } else if (path.equals("/healthz")) {
                end(ctx, request, desk.ready() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, "", false);
            } else if (!desk.knowsClass(path.split("/", 3).length > 1 ? path.split("/", 3)[1] : "")) {
                end(ctx, request, HttpResponseStatus.NOT_FOUND, "no such path", false);
            } else if (!request.method().equals(HttpMethod.POST)) {
                end(ctx, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST",
                        false);
            } else {
                handIn(ctx, request, path);
            }
        }

        private void handIn(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
            Submission submission;
            try {
                submission = read(request, path.split("/", 3)[1]);
            } catch (BadInput bad) {
                end(ctx, request, HttpResponseStatus.BAD_REQUEST, bad.getMessage(), false);
                return;
            }
            Optional<Held> taken = desk.take(submission);
            if (taken.isEmpty()) {
                end(ctx, request, HttpResponseStatus.SERVICE_UNAVAILABLE, "no room", false);
                return;
            }
            end(ctx, request, HttpResponseStatus.ACCEPTED, "", false)
                    .addListener(f -> desk.answered(taken.get(), f.isSuccess()));
        }

        private ChannelFuture end(ChannelHandlerContext ctx, FullHttpRequest request,
                HttpResponseStatus status, String text, boolean close) {
            FullHttpResponse answer = answer(status, text);
            boolean last = close || closing || !HttpUtil.isKeepAlive(request);
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else {
                idle.add(ctx.channel());
            }
            ChannelFuture written = ctx.writeAndFlush(answer);
            return last ? written.addListener(ChannelFutureListener.CLOSE) : written;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static FullHttpResponse answer(HttpResponseStatus status, String text) {
        FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
        return answer;
    }

    private Submission read(FullHttpRequest request, String inPath) throws BadInput {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        String messageClass = headers.get("X-Call-Class", inPath);
        if (!messageClass.equals(inPath)) {
            throw new BadInput("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!desk.knowsTenant(tenant)) {
            throw new BadInput("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && desk.needsKey(messageClass)) {
            throw new BadInput("Idempotency-Key is missing");
        }
        long budgetMs = whole(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new BadInput("X-Budget-Ms leaves no time");
        }
        String destination = Arrays.stream(required(headers, "X-Envelope").split("[,;\\s]+"))
                .filter(part -> part.startsWith("dest=")).findFirst()
                .orElseThrow(() -> new BadInput("X-Envelope names no dest")).substring("dest=".length());
        return new Submission(id, messageClass, tenant, key, whole(destination, "dest"), budgetMs,
                ByteBufUtil.getBytes(request.content()));
    }

    private static String required(HttpHeaders headers, String name) throws BadInput {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new BadInput(name + " is missing");
        }
        return value;
    }

    private static long whole(String value, String name) throws BadInput {
        try {
            long number = Long.parseLong(value.trim());
            if (number < 0) {
                throw new BadInput(name + " is negative");
            }
            return number;
        } catch (NumberFormatException e) {
            throw new BadInput(name + " is not a whole number");
        }
    }
}
