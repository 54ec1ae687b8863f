package slipfield.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * An agent of a stand-in Consul: the part of the HTTP API, version 1, that finds and registers services, with blocking
 * queries, over a cluster that several agents may share; and the faults that an agent may have.
 */
public final class ConsulAgent implements AutoCloseable {
    /** What is wrong with it. */
    public enum Fault {
        /** Nothing. */
        NONE,
        /** It reads questions and never answers. */
        HANG,
        /** It answers 500. */
        ERROR,
        /** Its answers break off in the middle. */
        TRUNCATED,
        /** Its answers have 60 MB. */
        HUGE,
        /** It answers from what it knew when it began to lag, and says so. */
        LAGS,
        /** It lags and does not know. */
        LAGS_UNAWARE,
        /** It has no leader, and says so. */
        NO_LEADER,
        /** It answers that there is nothing. */
        EMPTY,
        /** It sends elsewhere. */
        REDIRECT,
        /** Its answers are no lists. */
        SHAPE,
        /** It closes each connection that asks. */
        CLOSES
    }

    private static final long LONGEST_WAIT_MS = 600_000;
    private static final long WAIT_MS = 300_000;
    private static final int JITTER = 16;
    private static final int HUGE_PARTS = 60;
    private static final int PART = 1 << 20;
    private static final long EXPIRE_MS = 20;

    private final JsonMapper json = JsonMapper.builder().build();
    private final ConsulCluster cluster;
    private final HttpServer server;
    private final Future<?> expiring;
    private final AtomicInteger blocked = new AtomicInteger();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong listed = new AtomicLong();
    private volatile Fault fault = Fault.NONE;
    private volatile ConsulCluster lagging;
    private volatile long laggingSince;

    /** Listens on a free port of the loopback. */
    public ConsulAgent(EventLoopGroup group, ConsulCluster cluster) {
        this(group, cluster, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Listens at this address. */
    public ConsulAgent(EventLoopGroup group, ConsulCluster cluster, InetSocketAddress address) {
        this.cluster = cluster;
        this.server = new HttpServer(group, address, this::asked);
        this.expiring = group.scheduleAtFixedRate(cluster::expire, EXPIRE_MS, EXPIRE_MS, TimeUnit.MILLISECONDS);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** From now on this is wrong with it; questions that wait now are answered as they would have been. */
    public void fault(Fault next) {
        lagging = cluster.copy();
        laggingSince = System.nanoTime();
        fault = next;
    }

    /** Blocking queries that wait now. */
    public int blocked() {
        return blocked.get();
    }

    /** Answers so far that had something in them. */
    public long listed() {
        return listed.get();
    }

    /** Requests so far. */
    public long asked() {
        return asked.get();
    }

    private ConsulCluster known() {
        return fault == Fault.LAGS || fault == Fault.LAGS_UNAWARE ? lagging : cluster;
    }

    private void asked(Channel channel, FullHttpRequest request) {
        asked.incrementAndGet();
        switch (fault) {
            case HANG -> { }
            case CLOSES -> channel.close();
            case ERROR -> HttpServer.answer(channel, 500, "rpc error: no cluster leader");
            case REDIRECT -> {
                FullHttpResponse elsewhere = HttpServer.response(307, "");
                elsewhere.headers().set(HttpHeaderNames.LOCATION, "http://127.0.0.1:1/v1");
                channel.writeAndFlush(elsewhere);
            }
            case HUGE -> huge(channel);
            default -> route(channel, request);
        }
    }

    /** In parts of one and the same megabyte, as fast as they are taken. */
    private static void huge(Channel channel) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, (long) HUGE_PARTS * PART).set("X-Consul-Index", 1);
        channel.writeAndFlush(head);
        part(channel, Unpooled.wrappedBuffer(new byte[PART]), HUGE_PARTS);
    }

    private static void part(Channel channel, ByteBuf part, int left) {
        if (left > 0 && channel.isActive()) {
            channel.writeAndFlush(new DefaultHttpContent(part.duplicate())).addListener(f -> {
                if (f.isSuccess()) {
                    part(channel, Unpooled.wrappedBuffer(new byte[PART]), left - 1);
                }
            });
        }
    }

    private void route(Channel channel, FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (!cluster.allows(token(request, uri))) {
            HttpServer.answer(channel, 403, "Permission denied: anonymous token lacks permission");
            return;
        }
        String[] path = uri.path().split("/", -1);
        String area = path.length > 3 ? path[2] + "/" + path[3] : uri.path();
        String rest = path.length > 4 ? uri.path().substring(uri.path().indexOf(path[3]) + path[3].length() + 1) : "";
        if (request.method().equals(HttpMethod.PUT)) {
            change(channel, area, rest, uri, request.content().toString(StandardCharsets.UTF_8));
            return;
        }
        Optional<String> tag = first(uri, "tag");
        switch (area) {
            case "catalog/services" -> read(channel, uri, () -> known().catalog());
            case "catalog/nodes" -> read(channel, uri, () -> known().nodes());
            case "catalog/service" -> read(channel, uri, () -> known().catalogService(rest, tag));
            case "catalog/datacenters" -> answer(channel, 200, "[\"dc1\"]");
            case "health/service" -> {
                String text = first(uri, "filter").orElse("");
                Optional<Predicate<JsonNode>> filter = text.isEmpty() ? Optional.of(s -> true)
                        : ConsulCluster.filter(text);
                if (filter.isEmpty()) {
                    HttpServer.answer(channel, 400, "Failed to create boolean expression evaluator: " + text);
                    return;
                }
                read(channel, uri, () -> known().health(rest, tag, passing(uri), filter.get()));
            }
            case "health/state" -> read(channel, uri, () -> known().state(rest));
            case "agent/self" -> answer(channel, 200, cluster.self().toString());
            case "agent/services" -> answer(channel, 200, cluster.agentServices().toString());
            case "agent/checks" -> answer(channel, 200, cluster.agentChecks().toString());
            case "status/leader" -> answer(channel, 200, fault == Fault.NO_LEADER ? "\"\"" : "\"127.0.0.1:8300\"");
            case "status/peers" -> answer(channel, 200, "[\"127.0.0.1:8300\"]");
            default -> HttpServer.answer(channel, 404, "this stand-in does not know " + uri.path());
        }
    }

    private static boolean passing(QueryStringDecoder uri) {
        return first(uri, "passing").map(p -> !p.equals("false") && !p.equals("0")).orElse(false);
    }

    private static Optional<String> first(QueryStringDecoder uri, String name) {
        return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    private static Optional<String> token(FullHttpRequest request, QueryStringDecoder uri) {
        String bearer = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        return Optional.ofNullable(request.headers().get("X-Consul-Token")).or(() -> bearer.startsWith("Bearer ")
                ? Optional.of(bearer.substring(7)) : Optional.empty()).or(() -> first(uri, "token"));
    }

    private void change(Channel channel, String area, String rest, QueryStringDecoder uri, String text) {
        try {
            JsonNode body = text.isBlank() ? json.createObjectNode() : json.readTree(text);
            String[] parts = rest.split("/", 2);
            String id = parts.length > 1 ? parts[1] : "";
            boolean on = first(uri, "enable").orElse("").equals("true");
            String reason = first(uri, "reason").orElse("");
            switch (area + "/" + parts[0]) {
                case "agent/service/register" -> told(channel, cluster.register(body));
                case "agent/service/deregister" -> found(channel, cluster.deregister(id), "Unknown service ID " + id);
                case "agent/service/maintenance" ->
                    found(channel, cluster.maintenance(id, on, reason), "Unknown service ID " + id);
                case "agent/maintenance/" -> found(channel, cluster.maintenance("", on, reason), "");
                case "agent/check/register" -> told(channel, cluster.registerCheck(body, ""));
                case "agent/check/deregister" -> found(channel, cluster.deregisterCheck(id), "Unknown check ID " + id);
                case "agent/check/pass" -> found(channel, cluster.check(id, "passing"), unknown(id));
                case "agent/check/warn" -> found(channel, cluster.check(id, "warning"), unknown(id));
                case "agent/check/fail" -> found(channel, cluster.check(id, "critical"), unknown(id));
                case "agent/check/update" -> {
                    String status = body.path("Status").asText();
                    if (List.of("passing", "warning", "critical").contains(status)) {
                        found(channel, cluster.check(id, status), unknown(id));
                    } else {
                        HttpServer.answer(channel, 400, "Invalid check status: '" + status + "'");
                    }
                }
                default -> HttpServer.answer(channel, 404, "this stand-in does not know " + uri.path());
            }
        } catch (JsonProcessingException e) {
            HttpServer.answer(channel, 400, "Request decode failed: " + e.getOriginalMessage());
        }
    }

    private static String unknown(String check) {
        return "Unknown check ID \"" + check + "\". Ensure that the check ID is passed, not the check name.";
    }

    private static void told(Channel channel, Optional<String> wrong) {
        HttpServer.answer(channel, wrong.isPresent() ? 400 : 200, wrong.orElse(""));
    }

    private static void found(Channel channel, boolean there, String otherwise) {
        HttpServer.answer(channel, there ? 200 : 404, there ? "" : otherwise);
    }

    /** A read, which waits where an index says so. */
    private void read(Channel channel, QueryStringDecoder uri, Supplier<ConsulCluster.Answer> reads) {
        long index = first(uri, "index").map(ConsulAgent::number).orElse(0L);
        long waitMs = Math.min(LONGEST_WAIT_MS, first(uri, "wait").flatMap(ConsulCluster::durationMs).orElse(WAIT_MS));
        if (waitMs == 0) {
            waitMs = WAIT_MS;
        }
        if (index == 0 || known().index() < index || reads.get().index() > index) {
            answer(channel, reads.get());
            return;
        }
        waitMs += ThreadLocalRandom.current().nextLong(waitMs / JITTER + 1);
        new Blocked(channel, reads, index, waitMs).begin();
    }

    /** A question that waits. */
    private final class Blocked {
        private final Channel channel;
        private final Supplier<ConsulCluster.Answer> reads;
        private final long index;
        private final long waitMs;
        private final AtomicBoolean over = new AtomicBoolean();
        private final ConsulCluster of = known();
        private final Runnable look = this::look;
        private Future<?> timer;

        Blocked(Channel channel, Supplier<ConsulCluster.Answer> reads, long index, long waitMs) {
            this.channel = channel;
            this.reads = reads;
            this.index = index;
            this.waitMs = waitMs;
        }

        void begin() {
            blocked.incrementAndGet();
            timer = channel.eventLoop().schedule(this::end, waitMs, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(f -> leave());
            look();
        }

        /** On the thread of whoever changed something: what is read, is read on the channel's. */
        private void look() {
            channel.eventLoop().execute(() -> {
                if (over.get()) {
                    return;
                }
                // First, lest a change between the two be missed.
                of.onChange(look);
                long now = reads.get().index();
                if (now > index || known().index() < index) {
                    end();
                }
            });
        }

        private boolean leave() {
            if (!over.compareAndSet(false, true)) {
                return false;
            }
            blocked.decrementAndGet();
            timer.cancel(false);
            of.offChange(look);
            return true;
        }

        private void end() {
            if (leave()) {
                answer(channel, reads.get());
            }
        }
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void answer(Channel channel, ConsulCluster.Answer read) {
        if (!read.body().isEmpty()) {
            listed.incrementAndGet();
        }
        String body = switch (fault) {
            case EMPTY -> read.body().isArray() ? "[]" : "{}";
            case SHAPE -> read.body().isArray() ? "{\"Node\":7}" : "[\"shape\"]";
            default -> read.body().toString();
        };
        FullHttpResponse response = HttpServer.response(200, body);
        long contactMs = fault == Fault.LAGS ? 10_000 + (System.nanoTime() - laggingSince) / 1_000_000 : 0;
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json").set("X-Consul-Index", read.index())
                .set("X-Consul-KnownLeader", fault != Fault.NO_LEADER).set("X-Consul-LastContact", contactMs);
        if (fault == Fault.TRUNCATED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes() + 100);
            channel.writeAndFlush(response).addListener(f -> channel.close());
            return;
        }
        channel.writeAndFlush(response);
    }

    private static void answer(Channel channel, int status, String body) {
        FullHttpResponse response = HttpServer.response(status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        channel.writeAndFlush(response);
    }

    /** Listens no more. */
    @Override
    public void close() {
        expiring.cancel(false);
        server.close();
    }
}
