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
 * A mapping of an operator's file. Fields are asked for by name, type, unit and range; what is wrong is a {@link BadInput}
 * that names file, line, column and mend.
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
     * A mapping at this place.
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

    /** Refuses all fields but these; a name that is nearly one of them is asked about. */
    public Section allowOnly(String... known) throws BadInput {
        Set<String> names = new TreeSet<>(List.of(known));
        for (Map.Entry<String, Node> key : keys.entrySet()) {
            if (!names.contains(key.getKey())) {
                String near = names.stream().filter(n -> near(n, key.getKey())).findFirst()
                        .map(n -> "did you mean '" + n + "'?").orElse("it knows " + names);
                throw error(key.getValue(), title() + " knows no field '" + key.getKey() + "'; " + near);
            }
        }
        return this;
    }

    /** Whether one is the other with a unit behind it, or differs by one letter. */
    private static boolean near(String known, String written) {
        if (written.startsWith(known + "_") || written.equalsIgnoreCase(known)) {
            return true;
        }
        int ahead = 0;
        int most = Math.min(known.length(), written.length());
        while (ahead < most && known.charAt(ahead) == written.charAt(ahead)) {
            ahead++;
        }
        int behind = 0;
        while (behind < most - ahead
                && known.charAt(known.length() - 1 - behind) == written.charAt(written.length() - 1 - behind)) {
            behind++;
        }
        return Math.max(known.length(), written.length()) - ahead - behind <= 1;
    }

    /** Whether the field is there. */
    public boolean has(String key) {
        return fields.containsKey(key);
    }

    /** An error at a field, or at this mapping where the field is not there. */
    public BadInput error(String key, String whatAndMend) {
        return error(fields.getOrDefault(key, node), title(key) + " " + whatAndMend);
    }

    private BadInput error(Node at, String text) {
        return new BadInput(SettingsFile.place(file, at.getStartMark()) + text);
    }

    /** The text of a field that must be there and not be empty. */
    public String text(String key) throws BadInput {
        String text = text(key, "");
        if (text.isEmpty()) {
            throw error(key, "is missing; write `" + key + ": ...`");
        }
        return text;
    }

    /** The text of a field; {@code otherwise} where it is absent. */
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

    /** A text out of these. */
    public String oneOf(String key, String otherwise, Set<String> allowed) throws BadInput {
        String text = text(key, otherwise);
        if (!allowed.contains(text)) {
            throw error(key, "is none of its values: '" + text + "'; write one of " + new TreeSet<>(allowed));
        }
        return text;
    }

    /** A whole number within a range, both ends included. */
    public long integer(String key, long otherwise, long least, long most) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notOne) {
            // Told below, as what is out of its range is.
        }
        throw error(key, "is a whole number" + range(Long.toString(least), Long.toString(most), most == Long.MAX_VALUE)
                + ", not '" + text + "'; write it in digits, without a unit");
    }

    /** A number within a range, both ends included. */
    public double number(String key, double otherwise, double least, double most) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException notOne) {
            // Told below, as what is out of its range is.
        }
        throw error(key, "is a number" + range(Double.toString(least), Double.toString(most), most == Double.MAX_VALUE)
                + ", not '" + text + "'; write it in digits, without a unit");
    }

    /** A share from 0 to 1, written as {@code 0.5} or {@code 50%}. */
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
        } catch (NumberFormatException notOne) {
            // Told below, as what is out of its range is.
        }
        throw error(key, "is a share from 0 to 1, not '" + text + "'; write 0.5 or 50%");
    }

    /** A time with its unit, such as {@code 250ms}, {@code 1.5s}, {@code 2m}, {@code 1h}; in milliseconds. */
    public long millis(String key, long otherwise, long least, long most) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        Matcher time = TIME.matcher(text);
        if (!time.matches()) {
            throw error(key, "is a time with its unit, not '" + text + "'; write it as 250ms, 1.5s, 2m or 1h");
        }
        double value = Double.parseDouble(time.group(1)) * UNIT_MS.get(time.group(2));
        if (value < least || value > most) {
            throw error(key, "is a time" + range(time(least), time(most), most == Long.MAX_VALUE) + ", not " + text
                    + "; write one in that range");
        }
        return Math.round(value);
    }

    /** A rate with its unit, such as {@code 20/s}, {@code 600/m}; in units a second. */
    public double perSecond(String key, double otherwise, double least, double most) throws BadInput {
        if (!has(key)) {
            return otherwise;
        }
        String text = text(key, "");
        Matcher rate = RATE.matcher(text);
        if (!rate.matches()) {
            throw error(key, "is a rate with its unit, not '" + text + "'; write it as 20/s, 600/m or 5000/h");
        }
        double value = Double.parseDouble(rate.group(1)) * 1000 / UNIT_MS.get(rate.group(2));
        if (value < least || value > most) {
            throw error(key, "is a rate" + range(least + "/s", most + "/s", most == Double.MAX_VALUE) + ", not " + text
                    + "; write one in that range");
        }
        return value;
    }

    private static String range(String least, String most, boolean open) {
        return open ? " of " + least + " or more" : " from " + least + " to " + most;
    }

    /** A time in the form that {@link #millis} reads, in its largest whole unit. */
    public static String time(long ms) {
        return ms >= 3_600_000 && ms % 3_600_000 == 0 ? ms / 3_600_000 + "h" : ms >= 60_000 && ms % 60_000 == 0
                ? ms / 60_000 + "m" : ms >= 1000 && ms % 1000 == 0 ? ms / 1000 + "s" : ms + "ms";
    }

    /** A switch: {@code true} or {@code false}. */
    public boolean flag(String key, boolean otherwise) throws BadInput {
        return oneOf(key, Boolean.toString(otherwise), Set.of("true", "false")).equals("true");
    }

    /** The texts of a list; none where it is absent. */
    public List<String> texts(String key) throws BadInput {
        List<String> texts = new ArrayList<>();
        for (Node item : list(key)) {
            texts.add(scalar(key, item));
        }
        return texts;
    }

    /** The addresses of a list, each {@code host:port}; none where it is absent. */
    public List<InetSocketAddress> addresses(String key) throws BadInput {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Node item : list(key)) {
            addresses.add(address(key, item));
        }
        return addresses;
    }

    /** The address in a field that must be there. */
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

    /** A file whose path starts, where it is relative, from the folder of this one. */
    public Optional<Path> path(String key) throws BadInput {
        String text = text(key, "");
        return text.isEmpty() ? Optional.empty() : Optional.of(file.toAbsolutePath().resolveSibling(text));
    }

    /** The mapping in a field. */
    public Optional<Section> section(String key) throws BadInput {
        return has(key) ? Optional.of(new Section(file, fields.get(key), title(key))) : Optional.empty();
    }

    /** The mappings in a list; none where it is absent. */
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
