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

/** What a sender says in its last seconds, as a process. */
@Timeout(120)
class DrainLogTest {
    @TempDir
    private Path folder;

    /** Guards against the JDK's logging, which takes its handlers away as soon as a process is told to end. */
    @Test
    void whatADrainLeavesIsInTheLog() throws Exception {
        try (TrialWorld world = new TrialWorld(folder, new TrialWorld.Size(1, 1000, 1000, 3000, 100, 10));
                SenderProcess sender = new SenderProcess(folder, List.of(), SenderProcess.SMALL)) {
            sender.start();
            sender.terminate();
            Stub.await("the line of its end", () -> log(sender).contains(" sender.ended name=sender-0 held=0 owed=0"));
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
