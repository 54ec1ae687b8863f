package slipfield.core;

import java.net.SocketAddress;
import java.util.List;

/**
 * Where endpoints come from. Several stand side by side: each gives its own whole lists and changes, and one that
 * dies leaves standing what it said last.
 */
public interface Directory {
    /** An entry of the list; {@code gone} ones are named so once; {@code weight} 0: none told. */
    record Entry(String id, SocketAddress address, String zone, String kind, long destination, boolean serving,
            double weight, boolean gone) {
    }

    /** Is told what has changed. */
    interface EndpointListener {
        /** {@code whole}: what this directory doesn't name is no longer in its list. */
        void endpointsChanged(boolean whole, List<Entry> entries);
    }

    /** Begins to watch, and tells these of each change, on the core's thread. */
    void start(EndpointListener lists);

    /** Whether what it told last came from its source, and not merely from what the configuration knew. */
    boolean fresh();
}
