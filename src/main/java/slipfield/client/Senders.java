package slipfield.client;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/** Where a client's senders are. */
public interface Senders extends AutoCloseable {
    /** Begins to tell whole lists, on any thread, until closed. A list that is empty tells nothing. */
    void start(Consumer<List<InetSocketAddress>> listener);

    @Override
    default void close() {
    }

    /** These, for good. */
    static Senders of(List<InetSocketAddress> addresses) {
        List<InetSocketAddress> all = List.copyOf(addresses);
        return listener -> listener.accept(all);
    }
}
