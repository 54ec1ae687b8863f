package slipfield.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that KNOWN-RED.txt names, and no others, and prints each one. An entry's first line is {@code test:
 * CLASS#METHOD}.
 */
public final class KnownRed implements ExecutionCondition {
    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final String ENTRY = "test: ";

    /** The tests that the file names; none where there is no file. */
    static List<String> tests() {
        if (!Files.exists(FILE)) {
            return List.of();
        }
        try {
            return Files.readAllLines(FILE).stream().filter(line -> line.startsWith(ENTRY))
                    .map(line -> line.substring(ENTRY.length()).trim()).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        String test = context.getTestMethod().map(method -> context.getRequiredTestClass().getName() + "#" + method.getName())
                .orElse("");
        if (!tests().contains(test)) {
            return ConditionEvaluationResult.enabled("not in KNOWN-RED.txt");
        }
        System.out.println("KNOWN RED, passed over: " + test);
        return ConditionEvaluationResult.disabled("in KNOWN-RED.txt");
    }
}
