package slipfield.directory.consul;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.config.BadInput;
import slipfield.settings.Section;

/**
 * What an operator says of Consul.
 *
 * @param agents tried in turn
 * @param services by name: what holds where an instance's metadata doesn't say
 * @param tag services of the catalogue that bear it are watched too; empty: only those that are named
 * @param mode how consistent a read is: {@code default}, {@code stale} or {@code consistent}
 * @param tokenFile read again whenever a token was refused
 * @param waitMs how long a blocking query waits: an agent that hangs is found out so much later
 * @param mostStaleMs an answer of a server that had no contact with its leader for longer is not used
 * @param tls certificates, if the agents are to be asked over TLS
 */
public record ConsulSettings(List<InetSocketAddress> agents, Map<String, Mapping> services, String tag,
        String datacenter, String namespace, String filter, String mode, Optional<Path> tokenFile, long waitMs,
        long mostStaleMs, Optional<Tls> tls, Optional<Register> register) {
    private static final long LONGEST_WAIT_MS = 3_600_000;

    /** Where a service's instances belong; {@code destination} empty: each instance's metadata must say. */
    public record Mapping(Optional<Long> destination, String kind, String zone) {
    }

    /** PEM files; the certificate and key are the sender's own, if the agents ask for one. */
    public record Tls(Path authority, Optional<Path> certificate, Optional<Path> key) {
    }

    /** The sender's own registration; its check is told to be passing three times in {@code ttlMs}. */
    public record Register(String name, String id, List<String> tags, long ttlMs) {
    }

    /** Reads the part {@code consul}; an error names its place and the mend. */
    public static ConsulSettings read(Section part) throws BadInput {
        part.allowOnly("agents", "services", "tag", "datacenter", "namespace", "filter", "mode", "token_file", "wait",
                "most_stale", "tls", "register");
        List<InetSocketAddress> agents = part.addresses("agents");
        if (agents.isEmpty()) {
            throw part.error("agents", "names none; give at least one, as [127.0.0.1:8500]");
        }
        Map<String, Mapping> services = new LinkedHashMap<>();
        for (Section service : part.sections("services")) {
            service.allowOnly("name", "destination", "kind", "zone");
            Optional<Long> destination = service.has("destination")
                    ? Optional.of(service.integer("destination", 0, 0, Long.MAX_VALUE)) : Optional.empty();
            services.put(service.text("name"),
                    new Mapping(destination, service.text("kind", ""), service.text("zone", "")));
        }
        String tag = part.text("tag", "");
        if (services.isEmpty() && tag.isEmpty()) {
            throw part.error("services", "is empty; say which services, by `services` or by a `tag` that they bear");
        }
        Optional<Section> tls = part.section("tls");
        Optional<Section> register = part.section("register");
        return new ConsulSettings(List.copyOf(agents), services, tag, part.text("datacenter", ""),
                part.text("namespace", ""), part.text("filter", ""),
                part.oneOf("mode", "default", Set.of("default", "stale", "consistent")), part.path("token_file"),
                part.millis("wait", 1000, 100, LONGEST_WAIT_MS), part.millis("most_stale", 2000, 0, LONGEST_WAIT_MS),
                tls.isPresent() ? Optional.of(tls(tls.get())) : Optional.empty(),
                register.isPresent() ? Optional.of(register(register.get())) : Optional.empty());
    }

    private static Tls tls(Section part) throws BadInput {
        part.allowOnly("authority", "certificate", "key");
        Optional<Path> certificate = part.path("certificate");
        Optional<Path> key = part.path("key");
        if (certificate.isPresent() != key.isPresent()) {
            throw part.error(key.isPresent() ? "key" : "certificate", "stands alone; certificate and key go together");
        }
        part.text("authority");
        return new Tls(part.path("authority").orElseThrow(), certificate, key);
    }

    private static Register register(Section part) throws BadInput {
        part.allowOnly("name", "id", "tags", "ttl");
        return new Register(part.text("name", "slipfield"), part.text("id", ""), part.texts("tags"),
                part.millis("ttl", 10_000, 300, LONGEST_WAIT_MS));
    }
}
