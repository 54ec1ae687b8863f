package slipfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The yardstick: that it does what it is said to do, or the ratio beside it means nothing. */
class BaselineTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Ledger ledger = new Ledger(60_000);
    private final Venue good = new Venue(group, "venue-0", ledger, 1e6, 0);
    private final Venue bad = new Venue(group, "venue-1", ledger, 1e6, 0);
    private Baseline baseline;

    @AfterEach
    void close() {
        baseline.close();
        good.close();
        bad.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void start(Venue... venues) {
        baseline = new Baseline(group.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                List.of(venues).stream().map(Venue::address).toList());
    }

    private String answers(int orders) throws Exception {
        StringBuilder answers = new StringBuilder();
        try (Socket desk = new Socket(baseline.address().getAddress(), baseline.address().getPort())) {
            desk.setSoTimeout(30_000);
            InputStream in = new BufferedInputStream(desk.getInputStream());
            for (int i = 0; i < orders; i++) {
                ledger.handedIn("o-" + i, Ledger.Effect.ONCE, 20_000);
                ledger.heard("o-" + i, true);
                Stub.write(desk, "POST /once HTTP/1.1\r\nX-Call-Id: o-" + i + "\r\nContent-Length: 2\r\n\r\nhi");
                answers.append(Stub.read(in, 0).line().split(" ")[1]).append(' ');
            }
        }
        return answers.toString().trim();
    }

    @Test
    void ordersGoToEachVenueInTurnAndAreAnsweredWhenItHas() throws Exception {
        start(good, bad);
        assertEquals("200 200 200 200", answers(4));
        assertEquals(2, good.asked());
        assertEquals(2, bad.asked());
        // A venue counts a delivery once its answer is written, which the desk may read before.
        Stub.await("all deliveries are counted", () -> ledger.account().delivered() >= 4);
        assertEquals(4, ledger.account().delivered());
    }

    @Test
    void aVenueThatResetsIsTriedAtThreeTimesOverAllAndThenGivenUp() throws Exception {
        bad.mood(Venue.Mood.RESET);
        start(bad);
        assertEquals("503", answers(1));
        assertEquals(3, bad.asked());
    }

    @Test
    void anotherVenueTakesWhatOneResets() throws Exception {
        bad.mood(Venue.Mood.RESET);
        start(bad, good);
        assertEquals("200 200", answers(2));
    }
}
