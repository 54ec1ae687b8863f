package slipfield.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.NodeType;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import slipfield.config.BadInput;
import slipfield.config.Config;

/**
 * A mapping of an operator's file. Each method reads the field of a name and checks its type, unit and range; an error is a
 * {@link BadInput} that names the file, line, column, problem and remedy.
 */
public final class Section {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,6})?) ?(ms|s|m|h)");
    private static final Pattern RATE = Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,6})?) ?/ ?(s|m|h)");
    private static final Map<String, Long> UNIT_MS = Map.of("ms", 1L, "s", 1000L, "m", 60_000L, "h", 3_600_000L);

    private final Path file;
    private final Node node;
    private final String name;
    private final Map<String, Node> fields = new LinkedHashMap<>();
    private final Map<String, Node> keys = new LinkedHashMap<>();

    /**
     * A mapping of this file; {@link BadInput} if the node is not a mapping of distinct scalar keys.
     *
     * @param name its dotted name, empty for the whole file
     */
    Section(Path file, Node node, String name) throws BadInput {
        this.file = file;
        this.node = node;
        this.name = name;
        if (!(node instanceof MappingNode mapping)) {
            throw error(node, title() + " is a mapping; write `key: value` lines under it");
        }
        for (NodeTuple tuple : mapping.getValue()) {
            Node key = tuple.getKeyNode();
            if (!(key instanceof ScalarNode scalar)) {
                throw error(key, "a key is a plain word; write `key: value`");
            }
            if (fields.put(scalar.getValue(), tuple.getValueNode()) != null) {
                throw error(key, "'" + scalar.getValue() + "' is set twice in " + title() + "; keep one of the two");
            }
            keys.put(scalar.getValue(), key);
        }
    }

    private String title() {
        return name.isEmpty() ? "the file" : name;
    }

    private String title(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** Refuses all fields but these; the error for a name that is similar to one of them suggests that one. */
    public Section allowOnly(String... known) throws BadInput {
        Set<String> names = new TreeSet<>(List.of(known));
        for (Map.Entry<String, Node> key : keys.entrySet()) {
            if (!names.contains(key.getKey())) {
                String hint = names.stream().filter(n -> similar(n, key.getKey())).findFirst()
                        .map(n -> "did you mean '" + n + "'?").orElse("it knows " + names);
                throw error(key.getValue(), title() + " knows no field '" + key.getKey() + "'; " + hint);
            }
        }
        return this;
    }

    /** Whether the written name is the known one followed by a unit, or differs from it by case or by one letter. */
    private static boolean similar(String known, String written) {
        if (written.startsWith(known + "_") || written.equalsIgnoreCase(known)) {
            return true;
        }
        int prefix = 0;
        int shorter = Math.min(known.length(), written.length());
        while (prefix < shorter && known.charAt(prefix) == written.charAt(prefix)) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < shorter - prefix
                && known.charAt(known.length() - 1 - suffix) == written.charAt(written.length() - 1 - suffix)) {
            suffix++;
        }
        return Math.max(known.length(), written.length()) - prefix - suffix <= 1;
    }

    /** Whether the field is set. */
    public boolean has(String key) {
        return fields.containsKey(key);
    }

    /** An error at a field, or at this mapping if the field is not set; the text continues the field's name. */
    public BadInput error(String key, String problemAndRemedy) {
        return error(fields.getOrDefault(key, node), title(key) + " " + problemAndRemedy);
    }

    private BadInput error(Node at, String text) {
        return new BadInput(SettingsFile.location(file, at.getStartMark()) + text);
    }

    /** The text of a required field, which must not be empty. */
    public String text(String key) throws BadInput {
        String text = text(key, "");
        if (text.isEmpty()) {
            throw error(key, "is missing; write `" + key + ": ...`");
        }
        return text;
    }

    /** The text of a field; {@code otherwise} if it is not set. */
    public String text(String key, String otherwise) throws BadInput {
        Node value = fields.get(key);
        if (value == null) {
            return otherwise;
        }
        return scalar(key, value);
    }

    private String scalar(String key, Node value) throws BadInput {
        if (value.getNodeType() != NodeType.SCALAR) {
            throw error(value, title(key) + " is one value, not a list or a mapping; write `" + key + ": ...`");
        }
        return ((ScalarNode) value).getValue();
    }

    /** A text that has to be one of the allowed values; {@code otherwise} is checked too. */
    public String oneOf(String key, String otherwise, Set<String> allowed) throws BadInput {
        String text = text(key, otherwise);
        if (!allowed.contains(text)) {
            throw error(key, "is none of its values: '" + text + "'; write one of " + new TreeSet<>(allowed));
        }
        return text;
    }

    /** A whole number within a range, both limits included. */
    public long integer(String key, long otherwise, long min, long max) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value out of range.
        }
        throw error(key, "is a whole number" + range(Long.toString(min), Long.toString(max), max == Long.MAX_VALUE)
                + ", not '" + text + "'; write it in digits, without a unit");
    }

    /** A number within a range, both limits included. */
    public double number(String key, double otherwise, double min, double max) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value out of range.
        }
        throw error(key, "is a number" + range(Double.toString(min), Double.toString(max), max == Double.MAX_VALUE)
                + ", not '" + text + "'; write it in digits, without a unit");
    }

    /** A fraction from 0 to 1, written as {@code 0.5} or {@code 50%}. */
    public double share(String key, double otherwise) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        try {
            double value = text.endsWith("%") ? Double.parseDouble(text.substring(0, text.length() - 1)) / 100
                    : Double.parseDouble(text);
            if (value >= 0 && value <= 1) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value out of range.
        }
        throw error(key, "is a share from 0 to 1, not '" + text + "'; write 0.5 or 50%");
    }

    /** A duration in ms, written with its unit: {@code 250ms}, {@code 1.5s}, {@code 2m}, {@code 1h}; limits in ms, included. */
    public long millis(String key, long otherwise, long min, long max) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        Matcher time = TIME.matcher(text);
        if (!time.matches()) {
            throw error(key, "is a time with its unit, not '" + text + "'; write it as 250ms, 1.5s, 2m or 1h");
        }
        double value = Double.parseDouble(time.group(1)) * UNIT_MS.get(time.group(2));
        if (value < min || value > max) {
            throw error(key, "is a time" + range(time(min), time(max), max == Long.MAX_VALUE) + ", not " + text
                    + "; write one in that range");
        }
        return Math.round(value);
    }

    /** A rate per second, written with its unit: {@code 20/s}, {@code 600/m}; limits per second, included. */
    public double perSecond(String key, double otherwise, double min, double max) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        Matcher rate = RATE.matcher(text);
        if (!rate.matches()) {
            throw error(key, "is a rate with its unit, not '" + text + "'; write it as 20/s, 600/m or 5000/h");
        }
        double value = Double.parseDouble(rate.group(1)) * 1000 / UNIT_MS.get(rate.group(2));
        if (value < min || value > max) {
            throw error(key, "is a rate" + range(min + "/s", max + "/s", max == Double.MAX_VALUE) + ", not " + text
                    + "; write one in that range");
        }
        return value;
    }

    private static String range(String min, String max, boolean open) {
        return open ? " of " + min + " or more" : " from " + min + " to " + max;
    }

    /** Formats a duration as {@link #millis} reads it, in the largest unit that needs no fraction. */
    public static String time(long ms) {
        return ms >= 3_600_000 && ms % 3_600_000 == 0 ? ms / 3_600_000 + "h" : ms >= 60_000 && ms % 60_000 == 0
                ? ms / 60_000 + "m" : ms >= 1000 && ms % 1000 == 0 ? ms / 1000 + "s" : ms + "ms";
    }

    /** A field that is {@code true} or {@code false}. */
    public boolean flag(String key, boolean otherwise) throws BadInput {
        return oneOf(key, Boolean.toString(otherwise), Set.of("true", "false")).equals("true");
    }

    /** The texts of a list; empty if it is not set. */
    public List<String> texts(String key) throws BadInput {
        List<String> texts = new ArrayList<>();
        for (Node item : list(key)) {
            texts.add(scalar(key, item));
        }
        return texts;
    }

    /** The addresses of a list, each {@code IP:PORT}; empty if it is not set. */
    public List<InetSocketAddress> addresses(String key) throws BadInput {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Node item : list(key)) {
            addresses.add(address(key, item));
        }
        return addresses;
    }

    /** The address in a required field. */
    public InetSocketAddress address(String key) throws BadInput {
        text(key);
        return address(key, fields.get(key));
    }

    private InetSocketAddress address(String key, Node value) throws BadInput {
        try {
            return Config.address(scalar(key, value));
        } catch (BadInput bad) {
            throw error(value, title(key) + ": " + bad.getMessage() + "; write it as 127.0.0.1:8500");
        }
    }

    /** A path; a relative one is resolved against the folder of this file. */
    public Optional<Path> path(String key) throws BadInput {
        String text = text(key, "");
        return text.isEmpty() ? Optional.empty() : Optional.of(file.toAbsolutePath().resolveSibling(text));
    }

    /** The mapping in a field, if it is set. */
    public Optional<Section> section(String key) throws BadInput {
        return has(key) ? Optional.of(new Section(file, fields.get(key), title(key))) : Optional.empty();
    }

    /** The mappings in a list; empty if it is not set. */
    public List<Section> sections(String key) throws BadInput {
        List<Section> sections = new ArrayList<>();
        for (Node item : list(key)) {
            sections.add(new Section(file, item, title(key)));
        }
        return sections;
    }

    private List<Node> list(String key) throws BadInput {
        Node value = fields.get(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof SequenceNode sequence)) {
            throw error(value, title(key) + " is a list; write `" + key + ": [...]`, or one `- ...` line for each");
        }
        return sequence.getValue();
    }
}
