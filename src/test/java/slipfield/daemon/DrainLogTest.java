package slipfield.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import slipfield.standin.SenderProcess;
import slipfield.standin.Stub;
import slipfield.standin.TrialWorld;

/** The log of a sender process during its shutdown. */
@Timeout(120)
class DrainLogTest {
    @TempDir
    private Path folder;

    /** Guards against log lines that are lost because the JDK's logging removes its handlers as soon as a shutdown begins. */
    @Test
    void logsTheEndOfADrain() throws Exception {
        try (TrialWorld world = new TrialWorld(folder, new TrialWorld.Size(1, 1000, 1000, 3000, 100, 10));
                SenderProcess sender = new SenderProcess(folder, List.of(), SenderProcess.SMALL)) {
            sender.start();
            sender.terminate();
            Stub.await("the last log line", () -> log(sender).contains(" sender.ended name=sender-0 held=0 owed=0"));
        }
    }

    private static String log(SenderProcess sender) {
        try {
            return sender.log();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
