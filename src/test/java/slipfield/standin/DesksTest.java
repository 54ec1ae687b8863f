package slipfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DesksTest {
    private static final double PER_SECOND = 200;
    private static final int SOME = 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against an order of one world that is counted as another's of the same number, and as run twice. */
    @Test
    void ordersOfTwoWorldsNeverShareAnId() throws InterruptedException {
        List<Set<String>> ids = List.of(ConcurrentHashMap.newKeySet(), ConcurrentHashMap.newKeySet());
        for (Set<String> world : ids) {
            handInTo(202, new Ledger(1000), world);
        }
        assertFalse(ids.get(0).stream().anyMatch(ids.get(1)::contains), ids.toString());
    }

    /** Guards against orders that count as taken on because a stranger, such as a venue, answers 200 at the sender's address. */
    @Test
    void onlyTheAnswerOfASenderTakesAnOrderOn() throws InterruptedException {
        Ledger ledger = new Ledger(1000);
        handInTo(200, ledger, ConcurrentHashMap.newKeySet());
        assertEquals(0, ledger.account().taken());
    }

    /** Guards against a desk that takes the end of a connection for a loss, or a loss for the end of a connection. */
    @Test
    void onlyARequestThatWasReadCountsAsUnanswered() throws Exception {
        for (boolean reads : new boolean[] {true, false}) {
            List<Witness.What> seen = new CopyOnWriteArrayList<>();
            Ledger ledger = new Ledger(1000, (what, order, sender, venue, value) -> seen.add(what));
            try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
                Desks desks = new Desks(group.next(), 0, (InetSocketAddress) server.getLocalSocketAddress(), ledger, 1000);
                desks.atRate(PER_SECOND);
                for (int i = 0; i < SOME; i++) {
                    try (Socket socket = server.accept()) {
                        Stub.await("a request", () -> available(socket) > 0);
                        if (reads) {
                            Stub.read(socket.getInputStream(), i);
                        }
                    }
                }
                desks.close();
                Stub.await("all connections are gone", () -> desks.unanswered() == 0);
            }
            assertEquals(reads, seen.contains(Witness.What.UNANSWERED), "read: " + reads);
        }
    }

    private static int available(Socket socket) {
        try {
            return socket.getInputStream().available();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void handInTo(int status, Ledger ledger, Set<String> ids) throws InterruptedException {
        HttpServer server = new HttpServer(group, 0, (channel, request) -> {
            ids.add(request.headers().get("X-Call-Id"));
            HttpServer.answer(channel, status, "");
        });
        Desks desks = new Desks(group.next(), 0, server.address(), ledger, 1000);
        desks.atRate(PER_SECOND);
        Stub.await("orders come", () -> ids.size() >= SOME);
        desks.close();
        Stub.await("all are answered", () -> desks.unanswered() == 0);
        server.close();
    }
}
