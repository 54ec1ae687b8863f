package slipfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** What a sender keeps in its state folder for people. */
final class Views {
    private Views() {
    }

    /**
     * A view, if it is there and can be read; else that it is not is said.
     *
     * @param array what every such view has
     * @param hint what may be wrong where it is not there
     */
    static Optional<JsonNode> read(Path folder, String name, String array, String hint, PrintWriter err) {
        Path file = folder.resolve(name);
        try {
            if (!Files.exists(file)) {
                err.println(file + " is not there: " + hint);
                return Optional.empty();
            }
            JsonNode view = JsonMapper.builder().build().readTree(Files.readAllBytes(file));
            if (!view.path(array).isArray()) {
                err.println(file + " is not what a sender keeps there: no list of " + array);
                return Optional.empty();
            }
            return Optional.of(view);
        } catch (IOException e) {
            err.println(file + " can't be read: " + e.getMessage());
            return Optional.empty();
        }
    }
}
