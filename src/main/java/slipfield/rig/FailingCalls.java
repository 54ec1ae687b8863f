package slipfield.rig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * System calls of one sender that fail on purpose, by a library that is preloaded into its process ({@code failing-calls.c}) and
 * steered through a shared file while the process runs, over any number of its lives.
 */
public final class FailingCalls {
    /** What may be struck; files are those below the sender's state folder. The order is the library's. */
    public enum Call {
        SOCKET, CONNECT, ACCEPT, SOCKET_READ, SOCKET_WRITE, FILE_OPEN, FILE_READ, FILE_WRITE, FILE_TRUNCATE, FILE_RENAME, FILE_CLOSE,
        FILE_SYNC
    }

    /** What becomes of a call that is struck. The order is the library's. */
    public enum Effect {
        /** It fails with the error, and has done nothing. */
        FAIL,
        /** It does a part of what was asked, as a system may. */
        SHORTEN,
        /** Writes only: half is written, and the process gets SIGKILL. */
        KILL_HALFWAY,
        /** Writes only: half is written, and the next write fails with the error. */
        FAIL_HALFWAY
    }

    /** Errors by their numbers on Linux. */
    public enum Errno {
        EINTR(4), EIO(5), ENFILE(23), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101), ECONNABORTED(103), ENOBUFS(105), ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private static final String SOURCE = "failing-calls.c";
    private static final int RULES_AT = Long.BYTES;
    private static final int RULE_BYTES = 4 * Integer.BYTES;
    private static final int EFFECT_AT = 4;
    private static final int ERROR_AT = 8;
    private static final int STRUCK_AT = 12;
    private static final int ALWAYS = 1000;
    private static final long COMPILE_S = 60;

    private final Path library;
    private final Path control;
    private final Path folder;
    private final MappedByteBuffer shared;

    /** A library that strikes nothing so far; {@code folder}: whose files count, such as a sender's state folder. */
    public FailingCalls(Path library, Path control, Path folder) throws IOException {
        this.library = library;
        this.control = control;
        this.folder = folder;
        Files.write(control, new byte[RULES_AT + Call.values().length * RULE_BYTES]);
        try (FileChannel file = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            shared = file.map(FileChannel.MapMode.READ_WRITE, 0, file.size());
        }
        shared.order(ByteOrder.nativeOrder());
    }

    /** Whether this machine has a C compiler, without which there is no library. */
    public static boolean canCompile() {
        try {
            return new ProcessBuilder("cc", "--version").redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start().waitFor() == 0;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Builds the library in this folder; returns its file. */
    public static Path compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        Path library = folder.resolve("failing-calls.so");
        try (InputStream in = FailingCalls.class.getResourceAsStream(SOURCE)) {
            Files.write(source, in.readAllBytes());
        }
        Process compiler = new ProcessBuilder("cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl")
                .inheritIO().start();
        if (!compiler.waitFor(COMPILE_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            compiler.destroyForcibly();
            throw new IOException("the C compiler did not build " + source);
        }
        return library;
    }

    /** The command that a sender is run by, so that the library is in its process. */
    public List<String> wrapper() {
        return List.of("env", "LD_PRELOAD=" + library, "FAILING_CALLS_CONTROL=" + control, "FAILING_CALLS_FOLDER=" + folder);
    }

    /** From now on this share of the calls, 0 to 1, fails with the error. */
    public void fail(Call call, Errno error, double share) {
        strike(call, Effect.FAIL, error.number, share);
    }

    /** From now on this share of the calls reads or writes less than was asked. */
    public void shorten(Call call, double share) {
        strike(call, Effect.SHORTEN, 0, share);
    }

    /** The next write to a file is cut off in its middle by SIGKILL. */
    public void killInWrite() {
        strike(Call.FILE_WRITE, Effect.KILL_HALFWAY, 0, 1);
    }

    /** From now on each write to a file does half of what was asked, and the one for the rest fails with the error. */
    public void failHalfway(Errno error) {
        strike(Call.FILE_WRITE, Effect.FAIL_HALFWAY, error.number, 1);
    }

    private void strike(Call call, Effect effect, int error, double share) {
        int at = at(call);
        shared.putInt(at, 0);
        shared.putInt(at + EFFECT_AT, effect.ordinal());
        shared.putInt(at + ERROR_AT, error);
        shared.putInt(at, (int) Math.round(share * ALWAYS));
    }

    /** This call does what is asked from now on. */
    public void heal(Call call) {
        shared.putInt(at(call), 0);
    }

    /** All calls do what is asked from now on; the wall clock stays where it was set. */
    public void heal() {
        for (Call call : Call.values()) {
            heal(call);
        }
    }

    /** The wall clock differs from the machine's by so many ms from now on. */
    public void stepWallClock(long byMs) {
        shared.putLong(0, byMs);
    }

    /** How many calls of this kind were struck so far. */
    public int struck(Call call) {
        return shared.getInt(at(call) + STRUCK_AT);
    }

    private static int at(Call call) {
        return RULES_AT + call.ordinal() * RULE_BYTES;
    }
}
