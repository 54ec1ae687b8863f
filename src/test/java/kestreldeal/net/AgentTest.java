package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The agent's time limit, where it is the loop that is late. */
class AgentTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The status of each answer, 0 where none came. */
    private final BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
    private final CountDownLatch answered = new CountDownLatch(2);
    private Stub stub;

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void ask(Agent agent, long limitMs) {
        agent.ask(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"), limitMs,
                a -> answers.add(a.map(answer -> answer.status().code()).orElse(0)));
    }

    @Test
    void anAnswerThatIsThereIsReadHoweverLateTheLoopLooks() throws Exception {
        stub = new Stub((request, socket) -> {
            Stub.status(204, "").come(request, socket);
            answered.countDown();
        });
        Agent agent = new Agent(loop, stub.address());
        loop.execute(() -> ask(agent, 60_000));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
        loop.execute(() -> {
            ask(agent, 1);
            try {
                // The loop is held up until the answer has come and the limit has passed.
                answered.await();
                long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(5);
                while (System.nanoTime() < due) {
                    Thread.onSpinWait();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS), "not given up between two looks at the socket");
    }

    @Test
    void aSilentAgentIsGivenUpAndAskedAnew() throws Exception {
        stub = new Stub(Stub.silent());
        Agent agent = new Agent(loop, stub.address());
        loop.execute(() -> ask(agent, 5));
        assertEquals(0, answers.poll(30, TimeUnit.SECONDS));
        stub.script(Stub.status(204, ""));
        loop.execute(() -> ask(agent, 60_000));
        assertEquals(204, answers.poll(30, TimeUnit.SECONDS));
    }
}
