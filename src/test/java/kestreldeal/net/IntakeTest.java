package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The bound on clients' connections, apart from the sender. */
class IntakeTest {
    private static final int MOST = 10;

    /** A desk that is ready and knows nothing. */
    private static final class NoDesk implements Intake.Desk {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean knowsClass(String name) {
            return false;
        }

        @Override
        public boolean knowsTenant(String name) {
            return false;
        }

        @Override
        public boolean needsKey(String messageClass) {
            return false;
        }

        @Override
        public boolean knowsDestination(long destination) {
            return false;
        }

        @Override
        public Optional<HttpResponseStatus> answeredBefore(String id) {
            return Optional.empty();
        }

        @Override
        public Optional<Held> take(Intake.Submission submission) {
            return Optional.empty();
        }

        @Override
        public void answered(Held held, boolean heard) {
        }
    }

    /** Found in incident r0b62c9: hundreds that connected in one turn all made room by the same one. */
    @Test
    void aCrowdThatConnectsAtOnceStaysWithinTheBound() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> sockets = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            Intake intake = new Intake(loop, MOST, new NoDesk());
            InetSocketAddress address = intake.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            CountDownLatch connected = new CountDownLatch(1);
            loop.execute(() -> {
                try {
                    connected.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            for (int i = 0; i < 200; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
            }
            connected.countDown();
            Socket last = sockets.get(199);
            Stub.write(last, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", Stub.read(new BufferedInputStream(last.getInputStream()), 0).line());
            int clients = loop.submit(intake::clients).get();
            assertTrue(clients <= MOST, "connections: " + clients);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
