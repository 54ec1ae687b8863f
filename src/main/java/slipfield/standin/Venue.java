package slipfield.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in venue: runs the orders that reach it, tells the ledger of each, and misbehaves when it is told to. */
public final class Venue implements AutoCloseable {
    /** What it does with an order. */
    public enum Mood {
        /** Runs it, and answers 200. */
        UP,
        /** Reads it and does nothing; connections stay open. */
        SILENT,
        /** Runs nothing, and answers 500. */
        FAILING,
        /** Turns all away with 429, and tells no wait. */
        SHUT,
        /** Resets the connection unread. */
        RESET,
        /** Runs it, and answers 200 three seconds later. */
        LATE,
        /** Runs it, and answers what is not HTTP. */
        SPOILT
    }

    private static final long LATE_MS = 3000;

    private final EventLoopGroup group;
    private final String id;
    private final int number;
    private final long destination;
    private final Ledger ledger;
    private final double mostPerSecond;
    private final long serviceMicros;
    private final HttpServer server;
    /** Where senders connect that are told apart. */
    private final Map<Integer, HttpServer> doors = new ConcurrentHashMap<>();
    private volatile Mood mood = Mood.UP;
    private volatile long leastWaitMs = 1;
    private final AtomicLong asked = new AtomicLong();
    private volatile long askedNanos;
    private double tokens;
    private long filledNanos = System.nanoTime();

    /**
     * Listens on a free port.
     *
     * @param mostPerSecond orders above this rate are turned away with 429 and the time to come back
     * @param serviceMicros from an order's last byte to its answer, at least
     */
    public Venue(EventLoopGroup group, String id, Ledger ledger, double mostPerSecond, long serviceMicros) {
        this(group, id, 0, Platform.DESTINATION, ledger, mostPerSecond, serviceMicros);
    }

    /** The same with a number, by which witnesses know it, and the destination that it is an endpoint of. */
    public Venue(EventLoopGroup group, String id, int number, long destination, Ledger ledger, double mostPerSecond,
            long serviceMicros) {
        this.group = group;
        this.id = id;
        this.number = number;
        this.destination = destination;
        this.ledger = ledger;
        this.mostPerSecond = mostPerSecond;
        this.serviceMicros = serviceMicros;
        this.tokens = mostPerSecond / 10;
        this.server = new HttpServer(group, 0, (channel, request) -> asked(channel, request, -1));
    }

    /** Its name in the list. */
    public String id() {
        return id;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Where one sender connects, by its number. */
    public InetSocketAddress address(int sender) {
        return doors.computeIfAbsent(sender,
                s -> new HttpServer(group, 0, (channel, request) -> asked(channel, request, s))).address();
    }

    /** Its number. */
    public int number() {
        return number;
    }

    /** The destination that it is an endpoint of. */
    public long destination() {
        return destination;
    }

    /** What it does now. */
    public Mood mood() {
        return mood;
    }

    /** From now on it does this. */
    public void mood(Mood next) {
        mood = next;
    }

    /** From now on it tells whom it turns away to stay away for so long at the least. */
    public void leastWait(long ms) {
        leastWaitMs = ms;
    }

    /** Orders that have come so far, whatever it did with them. */
    public long asked() {
        return asked.get();
    }

    /** When the last one came, by {@link System#nanoTime}. */
    public long askedNanos() {
        return askedNanos;
    }

    private void asked(Channel channel, FullHttpRequest request, int sender) {
        askedNanos = System.nanoTime();
        asked.incrementAndGet();
        String order = request.headers().get("X-Call-Id", "");
        String key = request.headers().get("Idempotency-Key", "");
        switch (mood) {
            case SILENT -> unserved(channel, order, sender);
            case FAILING -> {
                ledger.witness().saw(Witness.What.ERROR_ANSWERED, order, sender, number, -1);
                later(channel, () -> HttpServer.answer(channel, 500, ""));
            }
            case SHUT -> {
                ledger.witness().saw(Witness.What.TURNED_AWAY, order, sender, number, 0);
                later(channel, () -> HttpServer.answer(channel, 429, ""));
            }
            case RESET -> {
                unserved(channel, order, sender);
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
            case SPOILT -> {
                ledger.run(order, key, sender, number);
                // Past the codec, which writes HTTP only.
                channel.pipeline().firstContext()
                        .writeAndFlush(Unpooled.copiedBuffer("no such protocol\r\n\r\n", StandardCharsets.US_ASCII));
            }
            case LATE -> {
                ledger.run(order, key, sender, number);
                channel.eventLoop().schedule(() -> delivered(channel, order), LATE_MS, TimeUnit.MILLISECONDS);
            }
            case UP -> {
                long waitMs = waitMs();
                if (waitMs > 0) {
                    ledger.witness().saw(Witness.What.TURNED_AWAY, order, sender, number, waitMs);
                    FullHttpResponse full = HttpServer.response(429, "");
                    full.headers().set(HttpHeaderNames.RETRY_AFTER, waitMs / 1000.0);
                    channel.writeAndFlush(full);
                    return;
                }
                ledger.run(order, key, sender, number);
                later(channel, () -> delivered(channel, order));
            }
        }
    }

    /** When it has worked on an order for as long as it takes. */
    private void later(Channel channel, Runnable answer) {
        if (serviceMicros == 0) {
            answer.run();
        } else {
            channel.eventLoop().schedule(answer, serviceMicros, TimeUnit.MICROSECONDS);
        }
    }

    private void unserved(Channel channel, String order, int sender) {
        ledger.witness().saw(Witness.What.UNSERVED, order, sender, number, -1);
        channel.closeFuture().addListener(
                closed -> ledger.witness().saw(Witness.What.GIVEN_UP, order, sender, number, -1));
    }

    private void delivered(Channel channel, String order) {
        HttpServer.answer(channel, 200, "").addListener(f -> {
            if (f.isSuccess()) {
                ledger.delivered(order);
            }
        });
    }

    /** A token bucket that holds a tenth of a second; returns how long it has been too empty for, or 0. */
    private synchronized long waitMs() {
        long now = System.nanoTime();
        tokens = Math.min(Math.max(1, mostPerSecond / 10), tokens + (now - filledNanos) * mostPerSecond / 1e9);
        filledNanos = now;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return Math.max(leastWaitMs, (long) ((1 - tokens) * 1000 / mostPerSecond));
    }

    @Override
    public void close() {
        doors.values().forEach(HttpServer::close);
        server.close();
    }
}
