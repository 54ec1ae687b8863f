package slipfield.core;

import java.net.SocketAddress;
import java.util.List;

/**
 * A source of endpoints. A sender may use several directories at once: each reports its own endpoint list and its changes.
 * When a directory fails, the endpoints that it reported last stay in use.
 */
public interface Directory {
    /**
     * An endpoint as a directory reports it.
     *
     * @param weight 0 if the source gives none
     * @param gone whether the endpoint has left the list; reported once
     */
    record Entry(String id, SocketAddress address, String zone, String kind, long destination, boolean serving,
            double weight, boolean gone) {
    }

    /** Receives changes of the endpoint list. */
    interface EndpointListener {
        /**
         * The endpoint list has changed.
         *
         * @param complete whether {@code entries} is the whole list of this directory, so that endpoints missing from it have
         *     left; false: {@code entries} holds only what has changed
         */
        void endpointsChanged(boolean complete, List<Entry> entries);
    }

    /** Starts watching the source. Changes are reported to the listener on the event loop of the core. */
    void start(EndpointListener listener);

    /** Whether the last report came from the source itself; false while only the endpoints of the configuration are known. */
    boolean fresh();
}
