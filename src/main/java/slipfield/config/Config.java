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
 * What a sender is told, by its environment and its JSON configuration. The environment comes first, but for
 * discovery: the file may be replaced while the sender runs, and the environment then still names the old
 * address, also after a restart. Settings keep their dotted names, so that the adapter and the sender read them in one way.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, Path state, long seed,
              int sockets, long diskBytes, DeliveryPolicy.Settings settings, List<String> classes,
              List<String> tenants, List<String> kinds, List<String> zones, int maxOpen, double connectTimeoutMs,
              Optional<JsonNode> knownEndpoints, Optional<Path> members, Optional<Path> clients,
              Optional<Path> amqp) {
    /** Names the operator's file of further sources of endpoints, if any. */
    private static final String MEMBERS = "SLIPFIELD_MEMBERS";
    /** Names the operator's file of what is done for clients, if any. */
    private static final String CLIENTS = "SLIPFIELD_CLIENTS";
    /** Names the operator's file of AMQP, if any. */
    private static final String AMQP = "SLIPFIELD_AMQP";
    /** The journal is read in one piece at the start and files count as memory: more is never used. */
    private static final double MOST_DISK_MB = 12;

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
        double diskMb = Math.min(limits.path("disk_mb").asDouble(MOST_DISK_MB), MOST_DISK_MB);
        return new Config(
                env.getOrDefault("GW_NAME", json.path("name").asText("sender")),
                address(env.getOrDefault("GW_LISTEN", json.path("listen").asText())),
                address(json.path("discovery").asText(env.getOrDefault("GW_DISCOVERY", ""))),
                Path.of(required(env, "GW_STATE")),
                seed(json.path("seed").asText("0")),
                limits.path("sockets").asInt(1024),
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
                file(env, MEMBERS), file(env, CLIENTS), file(env, AMQP));
    }

    private static Optional<Path> file(Map<String, String> env, String name) {
        return Optional.ofNullable(env.get(name)).filter(file -> !file.isEmpty()).map(Path::of);
    }

    /** An address as {@code 10.0.0.4:7070}; there is no DNS, so a host name is an error. */
    public static InetSocketAddress address(String text) throws BadInput {
        int cut = text.lastIndexOf(':');
        try {
            if (cut < 1 || !text.substring(0, cut).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                throw new BadInput("not an address with a port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, cut)),
                    Integer.parseInt(text.substring(cut + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput("not an address with a port: '" + text + "'");
        }
    }

    /** An address as {@link #address} reads it. */
    public static String hostPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Nested JSON as the dotted names of the simulator's wire. */
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
