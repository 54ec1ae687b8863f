package slipfield.front.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClientConnectionsTest {
    private static final int MAX = 3;

    private final ClientConnections connections = new ClientConnections(MAX);
    private final List<String> evicted = new ArrayList<>();

    private final class Client implements ClientConnections.Connection {
        private final String name;
        private final ClientConnections.Entry entry = new ClientConnections.Entry(this);
        private boolean unread;
        private boolean expendable;

        Client(String name) {
            this.name = name;
            connections.add(entry);
        }

        Client in(ClientConnections.State state) {
            connections.setState(entry, state);
            return this;
        }

        Client withUnread() {
            unread = true;
            connections.update(entry);
            return this;
        }

        Client neverSubmitting() {
            expendable = true;
            connections.update(entry);
            return this;
        }

        @Override
        public boolean hasUnread() {
            return unread;
        }

        @Override
        public boolean expendable() {
            return expendable;
        }

        @Override
        public void evict() {
            evicted.add(name);
        }

        @Override
        public void timedOut() {
        }
    }

    /** Guards against clients that stop within a second request, or send without end, and push out those that submit messages. */
    @Test
    void clientsThatNeverSubmitMakeRoomBeforeThoseThatDo() {
        new Client("usual").in(ClientConnections.State.IDLE);
        new Client("half").in(ClientConnections.State.RECEIVING).neverSubmitting();
        new Client("endless").in(ClientConnections.State.RECEIVING).withUnread().neverSubmitting();
        for (int i = 0; i < 3; i++) {
            new Client("new " + i).withUnread();
        }
        assertEquals(List.of("half", "endless", "new 2"), evicted);
    }

    /** Guards against a crowd that connects again and again, and pushes out idle clients between two of their requests. */
    @Test
    void aNewConnectionDoesNotEvictOneThatWasUsedAMomentAgo() {
        new Client("usual 1").in(ClientConnections.State.IDLE);
        new Client("receiving").in(ClientConnections.State.RECEIVING);
        new Client("polling").in(ClientConnections.State.POLLING);
        new Client("new");
        assertEquals(List.of("new"), evicted);
        assertEquals(MAX, connections.size());
    }

    @Test
    void aConnectionThatIsBeingClosedMakesRoomFirst() {
        new Client("silent");
        new Client("half").neverSubmitting();
        new Client("closing").in(ClientConnections.State.CLOSING);
        new Client("new").withUnread();
        assertEquals(List.of("closing"), evicted);
    }
}
