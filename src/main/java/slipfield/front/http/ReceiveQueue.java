package slipfield.front.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The data that was received on client connections and is not decoded yet, in turn over the connections. Its memory is limited:
 * a connection is not read while it has too much in the queue, or has anything there while all of them together have too much.
 * What is not read waits in the system's socket buffers, where it slows its sender down. A connection with nothing in the queue
 * is always read, so the queue holds at most the total limit and one read of each connection.
 *
 * @param <C> the type of the connections
 */
final class ReceiveQueue<C> {
    private final long maxBytes;
    private final long maxSourceBytes;
    private final Deque<Source> ready = new ArrayDeque<>();
    /** The preferred connections: they have every second turn, so that few of them wait for none of many others. */
    private final Deque<Source> preferredReady = new ArrayDeque<>();
    private boolean preferredHadLastTurn;
    private long bytes;

    /**
     * Creates an empty queue.
     *
     * @param maxBytes limit on the memory of all reads, in bytes
     * @param maxSourceBytes limit on the memory of one connection's reads, in bytes
     */
    ReceiveQueue(long maxBytes, long maxSourceBytes) {
        this.maxBytes = maxBytes;
        this.maxSourceBytes = maxSourceBytes;
    }

    /** The reads of one connection. */
    final class Source {
        private final C connection;
        private final Deque<ByteBuf> reads = new ArrayDeque<>(2);
        private long sourceBytes;
        /** The memory of the read that is being processed, in bytes; 0 if there is none. */
        private long currentBytes;
        private boolean suspended;
        private boolean inTurn;
        private boolean preferred;

        Source(C connection) {
            this.connection = connection;
        }

        C connection() {
            return connection;
        }

        /** Whether it has reads that only wait for their turn. */
        boolean awaitsTurn() {
            return !suspended && !isEmpty();
        }

        /** The memory of its reads, in bytes. */
        long bytes() {
            return sourceBytes;
        }

        /** Whether it has no reads, nor a part of one that is not processed. */
        boolean isEmpty() {
            return reads.isEmpty() && currentBytes == 0;
        }

        /** Whether a part of the read that was taken last is not processed yet; it comes before the next read. */
        boolean hasRest() {
            return currentBytes > 0;
        }

        /** Whether more may be read from the connection now. */
        boolean mayRead() {
            return isEmpty() || sourceBytes < maxSourceBytes && bytes < maxBytes;
        }

        /** Adds a read, which the queue owns from now on. */
        void add(ByteBuf read) {
            reads.addLast(read);
            count(read.capacity());
            enterTurn();
        }

        /** Removes the oldest read, which the caller owns from now on. Its memory counts until it is {@link #processed}. */
        ByteBuf take() {
            ByteBuf read = reads.removeFirst();
            currentBytes = read.capacity();
            return read;
        }

        /** The read that was taken last is processed completely. */
        void processed() {
            count(-currentBytes);
            currentBytes = 0;
        }

        /** Sets whether the reads are kept back for now: while they are, the connection gets no turn. */
        void suspend(boolean newSuspended) {
            suspended = newSuspended;
            enterTurn();
        }

        /** Sets whether the connection has its next turns among the preferred ones. */
        void prefer(boolean newPreferred) {
            preferred = newPreferred;
        }

        /** Discards all reads. */
        void clear() {
            processed();
            while (!reads.isEmpty()) {
                take().release();
                processed();
            }
        }

        private void count(long more) {
            sourceBytes += more;
            bytes += more;
        }

        private void enterTurn() {
            if (awaitsTurn() && !inTurn) {
                inTurn = true;
                (preferred ? preferredReady : ready).addLast(this);
            }
        }
    }

    /** Adds a connection without reads. */
    Source addSource(C connection) {
        return new Source(connection);
    }

    /** The connection whose turn it is; null if none has reads that may be processed. Call {@link #endTurn} after its turn. */
    Source beginTurn() {
        while (hasReady()) {
            preferredHadLastTurn = ready.isEmpty() || !preferredHadLastTurn && !preferredReady.isEmpty();
            Source next = (preferredHadLastTurn ? preferredReady : ready).removeFirst();
            next.inTurn = false;
            if (next.awaitsTurn()) {
                return next;
            }
        }
        return null;
    }

    /** Returns a connection to the end of the queue if it has more reads. */
    void endTurn(Source source) {
        source.enterTurn();
    }

    /** Whether any connection may have a turn. */
    boolean hasReady() {
        return !ready.isEmpty() || !preferredReady.isEmpty();
    }

    /** The memory of all reads, in bytes. */
    long bytes() {
        return bytes;
    }
}
