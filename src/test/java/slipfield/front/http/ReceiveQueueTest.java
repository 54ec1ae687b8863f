package slipfield.front.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

/** The limits and the order of received data that waits for the event loop. */
class ReceiveQueueTest {
    private final ReceiveQueue<String> queue = new ReceiveQueue<>(1000, 400);
    private final ReceiveQueue<String>.Source first = queue.addSource("first");
    private final ReceiveQueue<String>.Source second = queue.addSource("second");

    private static ByteBuf read(int bytes) {
        return Unpooled.buffer(bytes);
    }

    /** Guards against one client that fills the queue. */
    @Test
    void aConnectionIsNotReadWhileItHasTooMuchInTheQueue() {
        first.add(read(399));
        assertTrue(first.mayRead());
        first.add(read(1));
        assertFalse(first.mayRead());
        assertTrue(second.mayRead());
        first.take().release();
        assertFalse(first.mayRead(), "it still counts while it is processed");
        first.processed();
        assertTrue(first.mayRead());
    }

    /** Guards against many clients that fill it together, and against one that waits for them without any data of its own. */
    @Test
    void whileAllHaveTooMuchOnlyThoseWithNothingAreRead() {
        for (int i = 0; i < 3; i++) {
            queue.addSource("other").add(read(300));
        }
        first.add(read(100));
        assertEquals(1000, queue.bytes());
        assertFalse(first.mayRead());
        assertTrue(second.mayRead());
        first.clear();
        assertTrue(first.mayRead());
    }

    /** Guards against a usual client that waits for one turn of each of hundreds of bad ones. */
    @Test
    void preferredConnectionsHaveEverySecondTurn() {
        for (int i = 0; i < 3; i++) {
            queue.addSource("other " + i).add(read(1));
        }
        first.prefer(true);
        first.add(read(1));
        second.prefer(true);
        second.add(read(1));
        assertTurn("first");
        assertTurn("other 0");
        assertTurn("second");
        assertTurn("other 1");
        assertTurn("other 2");
        assertFalse(queue.hasReady());
    }

    /** Guards against a client's request that waits behind all that another has sent at once. */
    @Test
    void connectionsHaveOneReadInTurn() {
        first.add(read(1));
        first.add(read(1));
        second.add(read(1));
        assertTurn("first");
        assertTurn("second");
        assertTurn("first");
        assertNull(queue.beginTurn());
        assertFalse(queue.hasReady());
    }

    /** Guards against answers that pile up for a client that does not read them, and against one that is never resumed. */
    @Test
    void aSuspendedConnectionHasNoTurnUntilItIsResumed() {
        first.add(read(1));
        first.suspend(true);
        assertNull(queue.beginTurn());
        first.suspend(false);
        assertTrue(queue.hasReady());
        assertTurn("first");
    }

    private void assertTurn(String connection) {
        ReceiveQueue<String>.Source next = queue.beginTurn();
        assertEquals(connection, next.connection());
        next.take().release();
        next.processed();
        queue.endTurn(next);
    }

    /** Guards against one read of hundreds of requests that others have to wait for, and against a rest that is forgotten. */
    @Test
    void theRestOfAReadHasAnotherTurnAfterThoseOfOthers() {
        first.add(read(400));
        second.add(read(1));
        ReceiveQueue<String>.Source begun = queue.beginTurn();
        begun.take().release();
        queue.endTurn(begun);
        assertTrue(first.hasRest());
        assertFalse(first.mayRead());
        assertTurn("second");
        assertEquals(first, queue.beginTurn());
        first.clear();
        queue.endTurn(first);
        assertEquals(0, queue.bytes());
        assertFalse(queue.hasReady());
    }
}
