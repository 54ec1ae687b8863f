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
 * The operator's settings for Consul.
 *
 * @param agents addresses of the agents, tried in this order
 * @param services the watched services by name, with defaults for what an instance's metadata doesn't give
 * @param tag services of the catalogue with this tag are watched too; empty: only the named services
 * @param mode consistency mode of reads: {@code default}, {@code stale} or {@code consistent}
 * @param tokenFile holds the ACL token; read again after a token was refused
 * @param waitMs wait of a blocking query; a hanging agent is detected only after it
 * @param mostStaleMs answers of a server without contact to its leader for longer are discarded
 * @param tls certificates, if the agents are reached over TLS
 * @param register the sender's registration, if it is to be registered as a service
 */
public record ConsulSettings(List<InetSocketAddress> agents, Map<String, Mapping> services, String tag,
        String datacenter, String namespace, String filter, String mode, Optional<Path> tokenFile, long waitMs,
        long mostStaleMs, Optional<Tls> tls, Optional<Register> register) {
    private static final long MAX_DURATION_MS = 3_600_000;

    /** Defaults for a service's instances. Without {@code destination} each instance's metadata must give one. */
    public record Mapping(Optional<Long> destination, String kind, String zone) {
    }

    /** PEM files; {@code certificate} and {@code key} identify the sender to agents that require a client certificate. */
    public record Tls(Path authority, Optional<Path> certificate, Optional<Path> key) {
    }

    /** The sender's service registration; its TTL check is renewed three times per {@code ttlMs}. */
    public record Register(String name, String id, List<String> tags, long ttlMs) {
    }

    /** Reads the section {@code consul}; an error gives its position and how to fix it. */
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
            throw part.error("services", "is empty; say which services, by `services` or by a `tag` that they have");
        }
        Optional<Section> tls = part.section("tls");
        Optional<Section> register = part.section("register");
        return new ConsulSettings(List.copyOf(agents), services, tag, part.text("datacenter", ""),
                part.text("namespace", ""), part.text("filter", ""),
                part.oneOf("mode", "default", Set.of("default", "stale", "consistent")), part.path("token_file"),
                part.millis("wait", 1000, 100, MAX_DURATION_MS), part.millis("most_stale", 2000, 0, MAX_DURATION_MS),
                tls.isPresent() ? Optional.of(tls(tls.get())) : Optional.empty(),
                register.isPresent() ? Optional.of(register(register.get())) : Optional.empty());
    }

    private static Tls tls(Section part) throws BadInput {
        part.allowOnly("authority", "certificate", "key");
        Optional<Path> certificate = part.path("certificate");
        Optional<Path> key = part.path("key");
        if (certificate.isPresent() != key.isPresent()) {
            throw part.error(key.isPresent() ? "key" : "certificate", "is given alone; certificate and key go together");
        }
        part.text("authority");
        return new Tls(part.path("authority").orElseThrow(), certificate, key);
    }

    private static Register register(Section part) throws BadInput {
        part.allowOnly("name", "id", "tags", "ttl");
        return new Register(part.text("name", "slipfield"), part.text("id", ""), part.texts("tags"),
                part.millis("ttl", 10_000, 300, MAX_DURATION_MS));
    }
}
