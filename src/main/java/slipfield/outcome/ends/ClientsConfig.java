package slipfield.outcome.ends;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import slipfield.config.BadInput;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;

/**
 * The operator's settings for clients that use the client library.
 *
 * @param reconnectMs the time over which clients are asked to spread their reconnects after a connection loss, in milliseconds;
 *     negative if they are not asked
 * @param waitScope whether a refusal says to what its requested delay applies
 * @param ends how long final answers are retained for clients that poll for them; if absent, clients can't poll
 */
public record ClientsConfig(long reconnectMs, boolean waitScope, Optional<Retention> ends) {
    private static final long MAX_MS = 24 * 3_600_000;

    /**
     * Limits for answers that are not acknowledged yet; beyond them the oldest are dropped.
     *
     * @param keepMs how long an answer is retained, in milliseconds
     * @param maxAnswers how many are retained, for all clients together
     * @param maxBytes the size of the bodies and ids of all of them, in bytes; they stay in memory and in the journal until
     *     acknowledged
     */
    public record Retention(long keepMs, int maxAnswers, long maxBytes) {
    }

    /** Reads the file; an error names the file, line and column and how to correct it. */
    public static ClientsConfig read(Path path) throws IOException, BadInput {
        Section file = SettingsFile.read(path).allowOnly("reconnect_within", "wait_scope", "ends");
        Optional<Retention> retention = Optional.empty();
        Optional<Section> ends = file.section("ends");
        if (ends.isPresent()) {
            Section e = ends.get().allowOnly("keep", "most", "most_kb");
            retention = Optional.of(new Retention(e.millis("keep", 60_000, 1000, MAX_MS),
                    (int) e.integer("most", 10_000, 1, 1_000_000), 1024 * e.integer("most_kb", 2048, 1, 1 << 20)));
        }
        return new ClientsConfig(file.has("reconnect_within") ? file.millis("reconnect_within", 0, 0, MAX_MS) : -1,
                file.flag("wait_scope", true), retention);
    }
}
