package slipfield.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import slipfield.journal.AnswerRecipient;
import slipfield.journal.PendingMessage;
import slipfield.journal.JournalReader;

/** A look into a journal; it is never changed, also while a sender writes to it. */
@Command(name = "journal", mixinStandardHelpOptions = true,
        description = "Looks into a journal, without ever changing it.")
final class JournalCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    private static JournalReader read(CommandSpec spec, Path folder) throws IOException {
        Path file = folder.resolve("journal");
        if (!Files.isReadable(file)) {
            spec.commandLine().getErr().println("no journal at " + file
                    + ": name the folder that GW_STATE names");
            return null;
        }
        return new JournalReader(file);
    }

    @Command(name = "dump", mixinStandardHelpOptions = true,
            description = "Tells each message that is held: its attempts, and who has to hear of its end.")
    int dump(@Parameters(paramLabel = "FOLDER", description = "The folder of the journal.") Path folder)
            throws IOException {
        JournalReader journal = read(spec, folder);
        if (journal == null) {
            return 1;
        }
        PrintWriter out = spec.commandLine().getOut();
        for (PendingMessage held : journal.pendingMessages()) {
            out.printf("%s  class %s, tenant %s, destination %d, %d bytes, until %s%n", held.id, held.messageClass,
                    held.tenant, held.destination, held.body.length, Instant.ofEpochMilli(held.deadlineMs));
            for (PendingMessage.Attempt attempt : held.attempts) {
                out.printf("    attempt at %s, %s: %s%n", attempt.endpoint.isEmpty() ? "?" : attempt.endpoint,
                        Instant.ofEpochMilli(attempt.sentAtMs), attempt.mayHaveRun() ? "may have run" : "never ran");
            }
            out.printf("    %s%n", owed(held));
        }
        out.printf("%d held; %d ids that are over%n", journal.pendingMessages().size(), journal.completedCount());
        out.flush();
        return 0;
    }

    private static String owed(PendingMessage held) {
        List<AnswerRecipient> claims = held.recipients;
        String who = claims.isEmpty() ? "nobody" : claims.stream()
                .map(c -> c.peer().isEmpty() ? c.channel() : c.channel() + " " + c.peer())
                .collect(Collectors.joining(", "));
        return held.pendingNotice.map(end -> "ended, " + end.answer().name().toLowerCase(Locale.ROOT) + ": still to hear: "
                + who).orElse("has no end yet; to hear of it: " + who);
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Tells whether each record can be read. Exit code 0: all; 1: some are damaged.")
    int verify(@Parameters(paramLabel = "FOLDER", description = "The folder of the journal.") Path folder)
            throws IOException {
        JournalReader journal = read(spec, folder);
        if (journal == null) {
            return 1;
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%d bytes, %d records whole, %d with a wrong bit that is mended, %d bytes lost in the middle, %d "
                + "bytes torn off at the end%n", journal.bytes(), journal.records(), journal.correctedRecords(),
                journal.unreadableBytes(), journal.tornBytes());
        out.println(journal.unreadableBytes() > 0 ? "damaged: each message held may have run" : journal.tornBytes() > 0
                ? "sound: a torn end is what a process leaves that is killed while it writes" : "sound");
        out.flush();
        return journal.unreadableBytes() > 0 ? 1 : 0;
    }
}
