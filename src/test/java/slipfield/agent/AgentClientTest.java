package slipfield.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slipfield.standin.Stub;

/** The time limit of requests to the agent, also when the event loop is late. */
class AgentClientTest {
    /** Much longer than two requests on open connections take, even on a busy machine. */
    private static final long LIMIT_MS = 2000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The status of each answer, 0 if there was none. */
    private final BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
    private Stub stub;

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void send(AgentClient agent, String path, long limitMs, Runnable callback) {
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), limitMs, a -> {
            answers.add(a.map(answer -> answer.status().code()).orElse(0));
            callback.run();
        });
    }

    /**
     * The callback of another answer blocks the event loop while it reads its sockets. Meanwhile the answer to this request
     * arrives and its time limit expires. If the request were given up, a slow event loop would repeat it for ever.
     */
    @Test
    void anAnswerThatHasArrivedIsReadAfterTheLimitIfTheEventLoopIsLate() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        stub = new Stub((request, socket) -> {
            if (request.line().contains("/slow")) {
                answer.await();
                Stub.status(204, "").come(request, socket);
                answered.countDown();
            } else {
                Stub.status(204, "").come(request, socket);
            }
        });
        AgentClient agent = new AgentClient(loop, stub.address());
        AgentClient other = new AgentClient(loop, stub.address());
        for (AgentClient each : List.of(agent, other)) {
            loop.execute(() -> send(each, "/x", 60_000, () -> { }));
            assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
        }
        loop.execute(() -> {
            send(other, "/x", 60_000, () -> {
                answer.countDown();
                try {
                    answered.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
                while (System.nanoTime() < due) {
                    Thread.onSpinWait();
                }
            });
            send(agent, "/slow", LIMIT_MS, () -> { });
        });
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS), "the request is not given up while its answer is unread");
    }

    @Test
    void aRequestToASilentAgentTimesOutAndCanBeRepeated() throws Exception {
        stub = new Stub(Stub.silent());
        AgentClient agent = new AgentClient(loop, stub.address());
        loop.execute(() -> send(agent, "/x", 5, () -> { }));
        assertEquals(0, answers.poll(30, TimeUnit.SECONDS));
        stub.script(Stub.status(204, ""));
        loop.execute(() -> send(agent, "/x", 60_000, () -> { }));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
    }
}
