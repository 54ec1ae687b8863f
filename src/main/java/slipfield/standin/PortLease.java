package slipfield.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A free port of the loopback that nobody else is given until it is closed, also while nothing listens there: neither this
 * process nor another one of the machine that takes its ports here. A lease is a lock on one byte of a file that all of them
 * share, at the port's number, so it ends with its process at the latest.
 *
 * <p>The range lies below the ports that the system gives to outgoing connections. While a sender is away its clients try its
 * address so often that one of them would be given that port, connect to itself, and keep the sender from it.
 */
public final class PortLease implements AutoCloseable {
    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 32_000;
    private static final int MOST_DRAWS = 1000;
    private static final Path FILE = Path.of(System.getProperty("java.io.tmpdir"), "slipfield-ports.lock");
    /** Open for the life of the process: closing any channel to the file would end all locks that the process has on it. */
    private static FileChannel locks;

    private final FileLock lock;
    private final InetSocketAddress address;

    private PortLease(FileLock lock, InetSocketAddress address) {
        this.lock = lock;
        this.address = address;
    }

    /** Leases a port at which nothing listens; fails if none is found. */
    public static PortLease take() throws IOException {
        return take(LOWEST_PORT, HIGHEST_PORT);
    }

    /** The same from a range, its end exclusive. */
    static PortLease take(int lowest, int end) throws IOException {
        for (int i = 0; i < MOST_DRAWS; i++) {
            int port = ThreadLocalRandom.current().nextInt(lowest, end);
            FileLock lock = lock(port);
            if (lock == null) {
                continue;
            }
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            if (isFree(address)) {
                return new PortLease(lock, address);
            }
            lock.release();
        }
        throw new IOException("no port from " + lowest + " to " + end + " is free");
    }

    /** Null where another has it. */
    private static synchronized FileLock lock(int port) throws IOException {
        if (locks == null) {
            locks = FileChannel.open(FILE, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        try {
            return locks.tryLock(port, 1, false);
        } catch (OverlappingFileLockException ofThisProcess) {
            return null;
        }
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket(address.getPort(), 1, address.getAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }

    /** The port's address on the loopback. */
    public InetSocketAddress address() {
        return address;
    }

    /** From now on others may be given the port. */
    @Override
    public void close() {
        try {
            lock.release();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
