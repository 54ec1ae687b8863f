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

/** The agent's time limit, where it is the loop that is late. */
class AgentClientTest {
    /** Longer than asking twice on open connections takes, whatever else the machine does. */
    private static final long LIMIT_MS = 2000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The status of each answer, 0 where none came. */
    private final BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
    private Stub stub;

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void ask(AgentClient agent, String path, long limitMs, Runnable then) {
        agent.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), limitMs, a -> {
            answers.add(a.map(answer -> answer.status().code()).orElse(0));
            then.run();
        });
    }

    /**
     * Another connection's answer holds up the loop while the sockets are read; meanwhile this one's comes, and
     * its limit passes. Given up there, it would be asked anew over and over by a loop that is slow.
     */
    @Test
    void anAnswerThatIsThereIsReadHoweverLateTheLoopLooks() throws Exception {
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
            loop.execute(() -> ask(each, "/x", 60_000, () -> { }));
            assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
        }
        loop.execute(() -> {
            ask(other, "/x", 60_000, () -> {
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
            ask(agent, "/slow", LIMIT_MS, () -> { });
        });
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS), "not given up while it lay unread");
    }

    @Test
    void aSilentAgentIsGivenUpAndAskedAnew() throws Exception {
        stub = new Stub(Stub.silent());
        AgentClient agent = new AgentClient(loop, stub.address());
        loop.execute(() -> ask(agent, "/x", 5, () -> { }));
        assertEquals(0, answers.poll(30, TimeUnit.SECONDS));
        stub.script(Stub.status(204, ""));
        loop.execute(() -> ask(agent, "/x", 60_000, () -> { }));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
    }
}
