package slipfield.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import slipfield.config.BadInput;

/**
 * Parses an operator's file into a tree of {@link Section}s. Each error has the form {@code FILE:LINE:COLUMN: problem; remedy}.
 */
public final class SettingsFile {
    private static final int MAX_BYTES = 1 << 20;

    private SettingsFile() {
    }

    /**
     * Reads the file's top-level mapping.
     *
     * @throws IOException if it can't be read from disk
     * @throws BadInput if it is not YAML, over 1 MiB, or something else than a mapping
     */
    public static Section read(Path path) throws IOException, BadInput {
        if (Files.size(path) > MAX_BYTES) {
            throw new BadInput(path + ":1:1: over 1 MiB; split it, or check whether it is the right file");
        }
        return read(path, Files.readString(path, StandardCharsets.UTF_8));
    }

    /** Parses a text; {@code path} is its name in errors, and relative paths in the text are resolved against its folder. */
    public static Section read(Path path, String text) throws BadInput {
        try {
            LoadSettings settings = LoadSettings.builder().setLabel(path.toString()).setCodePointLimit(MAX_BYTES)
                    .setMaxAliasesForCollections(10).build();
            Optional<Node> root = new Compose(settings).composeString(text);
            if (root.isEmpty()) {
                throw new BadInput(path + ":1:1: nothing is set; write `key: value` lines");
            }
            if (!(root.get() instanceof MappingNode)) {
                throw new BadInput(location(path, root.get().getStartMark())
                        + "not a mapping; write `key: value` lines");
            }
            return new Section(path, root.get(), "");
        } catch (MarkedYamlEngineException e) {
            throw new BadInput(location(path, e.getProblemMark()) + e.getProblem()
                    + "; quote values that contain ':' or '#', and indent with spaces");
        } catch (YamlEngineException e) {
            throw new BadInput(path + ":1:1: " + e.getMessage() + "; correct what it names");
        }
    }

    /** The prefix of an error at this mark: {@code FILE:LINE:COLUMN: }, line and column counted from 1. */
    static String location(Path path, Optional<Mark> mark) {
        return path + ":" + mark.map(m -> (m.getLine() + 1) + ":" + (m.getColumn() + 1)).orElse("1:1") + ": ";
    }
}
