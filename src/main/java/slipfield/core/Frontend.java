package slipfield.core;

import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A way in for messages. It hands each in at the {@link MessageIntake}, and tells its client what the desk answers. Final
 * answers reach a client by the {@link AnswerChannel} that the message's claim names: a front whose protocol has them is
 * one itself.
 */
public interface Frontend {
    /** Begins to listen, and waits until it does: so it is not called on the core's thread. */
    InetSocketAddress listen() throws IOException;

    /** Takes no new connection, and ends each that stands with the answer to its next request. */
    void close();

    /**
     * The process ends in a moment: connections on which nothing is asked are closed, and what was read gets its answer.
     * {@link #clients} tells what is left. After {@link #close}.
     */
    default void finish() {
    }

    /** Connections that clients have open. */
    int openConnections();

    /** Whether connections that clients have made may still be taken up; {@link #close} ends that, not always at once. */
    default boolean accepting() {
        return false;
    }

    /** Lets go of what is not on the core's event loop, as the end of the process would; from any other thread. */
    default void kill() {
    }
}
