package slipfield.client;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/** A source of the addresses of senders. */
public interface Senders extends AutoCloseable {
    /**
     * Starts to pass complete lists to the listener, on any thread, until closed. An empty list means that the senders are not
     * known.
     */
    void start(Consumer<List<InetSocketAddress>> listener);

    @Override
    default void close() {
    }

    /** A source with a fixed list. */
    static Senders of(List<InetSocketAddress> addresses) {
        List<InetSocketAddress> all = List.copyOf(addresses);
        return listener -> listener.accept(all);
    }
}
