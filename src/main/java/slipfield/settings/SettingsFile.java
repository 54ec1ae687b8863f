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

/** An operator's file as a tree of {@link Section}s; each error in it is told as {@code FILE:LINE:COLUMN: what; mend}. */
public final class SettingsFile {
    private static final int LONGEST = 1 << 20;

    private SettingsFile() {
    }

    /**
     * Reads the file's outermost mapping.
     *
     * @throws IOException if it can't be read from disk
     * @throws BadInput if it is no YAML, over 1 MiB, or something else than a mapping
     */
    public static Section read(Path path) throws IOException, BadInput {
        if (Files.size(path) > LONGEST) {
            throw new BadInput(path + ":1:1: over 1 MiB; split it, or look whether it is the file that was meant");
        }
        return read(path, Files.readString(path, StandardCharsets.UTF_8));
    }

    /** The same of a text; {@code path} names it in errors, and relative paths in it start from its folder. */
    public static Section read(Path path, String text) throws BadInput {
        try {
            LoadSettings settings = LoadSettings.builder().setLabel(path.toString()).setCodePointLimit(LONGEST)
                    .setMaxAliasesForCollections(10).build();
            Optional<Node> root = new Compose(settings).composeString(text);
            if (root.isEmpty()) {
                throw new BadInput(path + ":1:1: nothing is set; write `key: value` lines");
            }
            if (!(root.get() instanceof MappingNode)) {
                throw new BadInput(place(path, root.get().getStartMark())
                        + "not a mapping; write `key: value` lines");
            }
            return new Section(path, root.get(), "");
        } catch (MarkedYamlEngineException e) {
            throw new BadInput(place(path, e.getProblemMark()) + e.getProblem()
                    + "; quote what holds ':' or '#', and indent by spaces");
        } catch (YamlEngineException e) {
            throw new BadInput(path + ":1:1: " + e.getMessage() + "; mend what it names");
        }
    }

    static String place(Path path, Optional<Mark> mark) {
        return path + ":" + mark.map(m -> (m.getLine() + 1) + ":" + (m.getColumn() + 1)).orElse("1:1") + ": ";
    }
}
