package slipfield.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import slipfield.log.Log;
import slipfield.retry.Retry;
import slipfield.policy.DeliveryPolicy;

/**
 * A sender's configuration: environment variables and the JSON file that {@code GW_CONFIG} names. A variable overrides the
 * file, except for the discovery address: the file may be replaced while the sender runs, and the variable then still has the
 * old address, also after a restart. Settings keep their dotted names, so that the simulator's adapter and the sender read
 * them in the same way.
 *
 * @param state the folder for the journal and other files
 * @param sockets how many sockets the sender may have open
 * @param memory the limit on the memory of the process, if any
 * @param kinds the names of the endpoints' kinds, setting {@code flavors}
 * @param maxOpen how many messages may be pending
 * @param knownEndpoints the endpoint list that the configuration file contains, if any
 * @param members the operator's file of further sources of endpoints, if any
 * @param clients the operator's file of services for clients, if any
 * @param amqp the operator's AMQP file, if any
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, Path state, long seed,
              int sockets, Optional<MemoryLimit> memory, long diskBytes, DeliveryPolicy.Settings settings, List<String> classes,
              List<String> tenants, List<String> kinds, List<String> zones, int maxOpen, double connectTimeoutMs,
              Optional<JsonNode> knownEndpoints, Optional<Path> members, Optional<Path> clients,
              Optional<Path> amqp) {
    /** Path of the operator's file of further sources of endpoints, if any. */
    private static final String MEMBERS = "SLIPFIELD_MEMBERS";
    /** Path of the operator's file of services for clients, if any. */
    private static final String CLIENTS = "SLIPFIELD_CLIENTS";
    /** Path of the operator's AMQP file, if any. */
    private static final String AMQP = "SLIPFIELD_AMQP";
    /** Upper limit of limits.disk_mb: the journal is read into memory in one piece at the start, and files count as memory. */
    private static final double MAX_DISK_MB = 12;

    /**
     * Reads the environment and the configuration file.
     *
     * @throws IOException if the file can't be read, or is no JSON
     * @throws BadInput if a required variable or setting is missing, or a value has the wrong form
     */
    public static Config read(Map<String, String> env) throws IOException, BadInput {
        Path file = Path.of(required(env, "GW_CONFIG"));
        JsonNode json = JsonMapper.builder().build()
                .readTree(Retry.within(Retry.START_MS, "configuration", () -> Files.readAllBytes(file)));
        Map<String, String> values = new HashMap<>();
        flatten("", json.path("settings"), values);
        Params settings = new Params(values);
        if (settings.fleetSize().isEmpty()) {
            Log.warn("config.fleet_size_unbelieved", "told", settings.textOr("fleet_size", "nothing"), "counted_as", 1);
        }
        JsonNode limits = json.path("limits");
        double diskMb = Math.min(limits.path("disk_mb").asDouble(MAX_DISK_MB), MAX_DISK_MB);
        return new Config(
                env.getOrDefault("GW_NAME", json.path("name").asText("sender")),
                address(env.getOrDefault("GW_LISTEN", json.path("listen").asText())),
                address(json.path("discovery").asText(env.getOrDefault("GW_DISCOVERY", ""))),
                Path.of(required(env, "GW_STATE")),
                seed(json.path("seed").asText("0")),
                limits.path("sockets").asInt(1024),
                Optional.of(limits.path("memory_mb").asLong(0)).filter(mb -> mb > 0).map(MemoryLimit::new),
                (long) (diskMb * 1_000_000),
                settings.settings(),
                names(settings, "classes"),
                names(settings, "tenants"),
                settings.list("flavors"),
                settings.list("zones"),
                (int) settings.numberOr("limits.max_open", Integer.MAX_VALUE),
                settings.numberOr("limits.dial_timeout_ms", 1000),
                json.path("known").path("instances").isArray()
                        ? Optional.of(json.path("known")) : Optional.empty(),
                optionalPath(env, MEMBERS), optionalPath(env, CLIENTS), optionalPath(env, AMQP));
    }

    private static Optional<Path> optionalPath(Map<String, String> env, String name) {
        return Optional.ofNullable(env.get(name)).filter(path -> !path.isEmpty()).map(Path::of);
    }

    /** Parses an address such as {@code 10.0.0.4:7070}; host names are rejected, because there is no DNS. */
    public static InetSocketAddress address(String text) throws BadInput {
        int colon = text.lastIndexOf(':');
        try {
            if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new BadInput("not an address with a port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput("not an address with a port: '" + text + "'");
        }
    }

    /** Formats an address so that {@link #address} reads it back. */
    public static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Adds the values of nested JSON under dotted names, as the simulator's protocol has them: {@code a.b} for an object's field,
     * {@code a.0.b} and {@code a.count} for a list of objects, and one value with commas for a list of plain values.
     */
    public static void flatten(String name, JsonNode node, Map<String, String> values) {
        if (node.isObject()) {
            String prefix = name.isEmpty() ? "" : name + ".";
            node.properties().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), values));
        } else if (node.isArray() && (node.isEmpty() || !node.get(0).isObject())) {
            List<String> items = new ArrayList<>();
            node.forEach(item -> items.add(item.asText()));
            values.put(name, String.join(",", items));
        } else if (node.isArray()) {
            values.put(name + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(name + "." + i, node.get(i), values);
            }
        } else if (!node.isNull()) {
            values.put(name, node.asText());
        }
    }

    private static List<String> names(Params settings, String list) throws BadInput {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < settings.numberOr(list + ".count", 0); i++) {
            names.add(settings.text(list + "." + i + ".name"));
        }
        return names;
    }

    private static long seed(String hex) throws BadInput {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new BadInput("the seed is not a hexadecimal number: " + hex);
        }
    }

    private static String required(Map<String, String> env, String name) throws BadInput {
        String value = env.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadInput(name + " is not set");
        }
        return value;
    }
}
