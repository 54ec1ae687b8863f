package slipfield.outcome;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import slipfield.agent.Agent;
import slipfield.core.AnswerChannel;
import slipfield.journal.PendingMessage;
import slipfield.journal.PendingAnswer;
import slipfield.log.Log;

/**
 * Notices to the platform of messages that ended undelivered, each sent again until it was heard. Hearing one
 * twice does no harm; one that is not heard is a lost message. What a turn has ended is written by {@link
 * #flush}, before that turn's calls, in one batch; while that is out the next goes over another connection, so
 * that none waits for the answer to those before it. Guards against a loop that is late: each answer takes it
 * another round.
 */
public final class PlatformNotices implements AnswerChannel {
    private static final int MOST_IN_BATCH = 1000;
    /** A body holds 64 KiB at most. */
    private static final int LONGEST_BATCH = 60_000;
    private static final int MOST_LANES = 4;
    private static final long LIMIT_MS = 500;
    private static final long PAUSE_MS = 50;

    private final EventLoop loop;
    private Supplier<Agent> agents;
    private final Consumer<PendingAnswer> heard;
    private final ObjectMapper json = JsonMapper.builder().build();
    /** What is in no batch that is out. */
    private final Deque<PendingAnswer> owed = new ArrayDeque<>();
    private final List<Lane> lanes = new ArrayList<>();
    private int most = MOST_IN_BATCH;

    /** A connection, and whether it can take a batch. */
    private static final class Lane {
        private final Agent agent;
        private List<PendingAnswer> batch = List.of();
        private boolean rests;

        Lane(Agent agent) {
            this.agent = agent;
        }
    }

    public PlatformNotices(EventLoop loop, Supplier<Agent> agents, Consumer<PendingAnswer> heard) {
        this.loop = loop;
        this.agents = agents;
        this.heard = heard;
    }

    @Override
    public void enqueue(PendingAnswer answer) {
        owed.add(answer);
    }

    /** Sends what is owed, as far as there is a connection without a batch. */
    @Override
    public void flush() {
        while (!owed.isEmpty()) {
            Lane lane = freeLane();
            if (lane == null) {
                return;
            }
            post(lane);
        }
    }

    private Lane freeLane() {
        for (Lane lane : lanes) {
            if (lane.batch.isEmpty() && !lane.rests) {
                return lane;
            }
        }
        if (lanes.size() == MOST_LANES) {
            return null;
        }
        Lane fresh = new Lane(agents.get());
        lanes.add(fresh);
        return fresh;
    }

    /** Tells another agent from now on, at once, also what the old one was told and has not answered. */
    public void switchAgent(Supplier<Agent> others) {
        agents = others;
        for (Lane lane : lanes) {
            lane.agent.close();
            takeBack(lane);
        }
        lanes.clear();
        flush();
    }

    private void takeBack(Lane lane) {
        for (int i = lane.batch.size() - 1; i >= 0; i--) {
            owed.addFirst(lane.batch.get(i));
        }
        lane.batch = List.of();
    }

    @Override
    public int pendingCount() {
        int out = 0;
        for (Lane lane : lanes) {
            out += lane.batch.size();
        }
        return owed.size() + out;
    }

    private void post(Lane lane) {
        List<PendingAnswer> batch = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        while (!owed.isEmpty() && batch.size() < most) {
            String line = line(owed.peek());
            if (lines.length() + line.length() > LONGEST_BATCH) {
                break;
            }
            batch.add(owed.remove());
            lines.append(line).append('\n');
        }
        lane.batch = batch;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                "/reports", Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        lane.agent.ask(request, LIMIT_MS, answer -> answered(lane, answer));
    }

    private String line(PendingAnswer answer) {
        PendingMessage held = answer.message();
        PendingMessage.Notice notice = held.pendingNotice.orElseThrow();
        boolean refused = notice.answer() == PendingMessage.FinalAnswer.REFUSED;
        ObjectNode line = json.createObjectNode();
        line.put("ref", held.id);
        line.put("result", refused ? "bounced" : "dead");
        if (refused && notice.waitMs() > 0) {
            line.put("wait_ms", Math.round(notice.waitMs()));
        }
        return line.toString();
    }

    private void answered(Lane lane, Optional<FullHttpResponse> answer) {
        int status = answer.map(a -> a.status().code()).orElse(0);
        if (status == 204) {
            List<PendingAnswer> told = lane.batch;
            lane.batch = List.of();
            most = MOST_IN_BATCH;
            told.forEach(heard);
            flush();
            return;
        }
        takeBack(lane);
        if (status == 400) {
            // One that can't be read must not hold up the rest: they go one by one, and it goes last.
            Log.warn("notices.refused", "status", 400);
            most = 1;
            owed.addLast(owed.removeFirst());
        }
        lane.rests = true;
        loop.schedule(() -> {
            lane.rests = false;
            flush();
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }
}
