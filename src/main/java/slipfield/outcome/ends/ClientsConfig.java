package slipfield.outcome.ends;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import slipfield.config.BadInput;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;

/**
 * What a sender does for clients of its own library, by the operator's file.
 *
 * @param reconnectMs clients are told to connect anew over this time after a loss; negative: nothing is told
 * @param waitScope whether a refusal tells what its wait holds for
 * @param ends how ends are kept for clients that follow them; absent: none may
 */
public record ClientsConfig(long reconnectMs, boolean waitScope, Optional<Retention> ends) {
    private static final long LONGEST_MS = 24 * 3_600_000;

    /**
     * How much is kept of ends that were not heard yet; the oldest go first.
     *
     * @param keepMs for so long
     * @param maxAnswers so many of all clients together
     * @param maxBytes bodies and ids of them all, in bytes: they stay in memory and in the journal until heard
     */
    public record Retention(long keepMs, int maxAnswers, long maxBytes) {
    }

    /** Reads it; an error names file, line, column and mend. */
    public static ClientsConfig read(Path path) throws IOException, BadInput {
        Section file = SettingsFile.read(path).allowOnly("reconnect_within", "wait_scope", "ends");
        Optional<Retention> keep = Optional.empty();
        Optional<Section> ends = file.section("ends");
        if (ends.isPresent()) {
            Section e = ends.get().allowOnly("keep", "most", "most_kb");
            keep = Optional.of(new Retention(e.millis("keep", 60_000, 1000, LONGEST_MS),
                    (int) e.integer("most", 10_000, 1, 1_000_000), 1024 * e.integer("most_kb", 2048, 1, 1 << 20)));
        }
        return new ClientsConfig(file.has("reconnect_within") ? file.millis("reconnect_within", 0, 0, LONGEST_MS) : -1,
                file.flag("wait_scope", true), keep);
    }
}
