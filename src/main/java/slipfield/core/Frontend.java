package slipfield.core;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Accepts messages from clients over one protocol. It submits each message to the {@link MessageIntake} and returns the result
 * to the client. Final answers reach a client through the {@link AnswerChannel} that the message's recipient names; a frontend
 * whose protocol carries final answers implements that interface too.
 */
public interface Frontend {
    /** Opens the listening socket and blocks until it is bound, so it must not be called on the core's event loop. */
    InetSocketAddress listen() throws IOException;

    /** Stops accepting connections. An open connection is closed with the answer to its next request. */
    void close();

    /**
     * Prepares for the end of the process, after {@link #close}: closes connections without a request in progress and answers
     * the requests that were read. {@link #openConnections} counts those that remain.
     */
    default void finish() {
    }

    /** The number of open client connections. */
    int openConnections();

    /**
     * Whether connections that clients have established may still be accepted. It becomes false after {@link #close}, possibly
     * with a delay.
     */
    default boolean accepting() {
        return false;
    }

    /** Releases resources outside the core's event loop as the end of the process would; called from any other thread. */
    default void kill() {
    }
}
