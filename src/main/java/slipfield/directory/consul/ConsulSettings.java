package slipfield.directory.consul;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.config.BadInput;
import slipfield.config.Config;

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
    private static final Set<String> FIELDS = Set.of("agents", "services", "tag", "datacenter", "namespace", "filter",
            "mode", "token_file", "wait_ms", "most_stale_ms", "tls", "register");

    /** Where a service's instances belong; {@code destination} empty: each instance's metadata must say. */
    public record Mapping(Optional<Long> destination, String kind, String zone) {
    }

    /** PEM files; the certificate and key are the sender's own, if the agents ask for one. */
    public record Tls(Path authority, Optional<Path> certificate, Optional<Path> key) {
    }

    /** The sender's own registration; its check is told to be passing three times in {@code ttlMs}. */
    public record Register(String name, String id, List<String> tags, long ttlMs) {
    }

    /** Reads the part {@code consul}; an error names the field and what it should be. */
    public static ConsulSettings read(JsonNode json, Path folder) throws BadInput {
        known(json, FIELDS, "consul");
        List<InetSocketAddress> agents = new ArrayList<>();
        for (JsonNode agent : json.path("agents")) {
            try {
                agents.add(Config.address(agent.asText()));
            } catch (BadInput bad) {
                throw new BadInput("consul.agents: " + bad.getMessage());
            }
        }
        if (agents.isEmpty()) {
            throw new BadInput("consul.agents names none; give at least one, as [\"127.0.0.1:8500\"]");
        }
        Map<String, Mapping> services = new LinkedHashMap<>();
        for (JsonNode service : json.path("services")) {
            known(service, Set.of("name", "destination", "kind", "zone"), "consul.services");
            String name = service.path("name").asText();
            if (name.isEmpty()) {
                throw new BadInput("consul.services: an entry has no name");
            }
            Optional<Long> destination = Optional.empty();
            if (service.has("destination")) {
                destination = Optional.of(number(service, "destination", "consul.services", 0, 0));
            }
            services.put(name, new Mapping(destination, service.path("kind").asText(), service.path("zone").asText()));
        }
        String tag = json.path("tag").asText();
        if (services.isEmpty() && tag.isEmpty()) {
            throw new BadInput("consul: say which services, by `services` or by a `tag` that they bear");
        }
        String mode = json.path("mode").asText("default");
        if (!Set.of("default", "stale", "consistent").contains(mode)) {
            throw new BadInput("consul.mode is default, stale or consistent, not '" + mode + "'");
        }
        return new ConsulSettings(List.copyOf(agents), services, tag, json.path("datacenter").asText(),
                json.path("namespace").asText(), json.path("filter").asText(), mode, file(json, "token_file", folder),
                number(json, "wait_ms", "consul", 1000, 100), number(json, "most_stale_ms", "consul", 2000, 0),
                tls(json.path("tls"), folder), register(json.path("register")));
    }

    private static Optional<Tls> tls(JsonNode json, Path folder) throws BadInput {
        if (json.isMissingNode()) {
            return Optional.empty();
        }
        known(json, Set.of("authority", "certificate", "key"), "consul.tls");
        Optional<Path> certificate = file(json, "certificate", folder);
        Optional<Path> key = file(json, "key", folder);
        if (certificate.isPresent() != key.isPresent()) {
            throw new BadInput("consul.tls: certificate and key go together");
        }
        return Optional.of(new Tls(file(json, "authority", folder)
                .orElseThrow(() -> new BadInput("consul.tls.authority is missing")), certificate, key));
    }

    private static Optional<Register> register(JsonNode json) throws BadInput {
        if (json.isMissingNode()) {
            return Optional.empty();
        }
        known(json, Set.of("name", "id", "tags", "ttl_ms"), "consul.register");
        List<String> tags = new ArrayList<>();
        json.path("tags").forEach(tag -> tags.add(tag.asText()));
        return Optional.of(new Register(json.path("name").asText("slipfield"), json.path("id").asText(), tags,
                number(json, "ttl_ms", "consul.register", 10_000, 300)));
    }

    private static Optional<Path> file(JsonNode json, String field, Path folder) {
        return json.path(field).isTextual() ? Optional.of(folder.resolve(json.path(field).asText())) : Optional.empty();
    }

    private static long number(JsonNode json, String field, String place, long otherwise, long least) throws BadInput {
        JsonNode value = json.path(field);
        if (value.isMissingNode()) {
            return otherwise;
        }
        if (!value.isIntegralNumber() || value.asLong() < least) {
            throw new BadInput(place + "." + field + " is a whole number of " + least + " or more, not " + value);
        }
        return value.asLong();
    }

    private static void known(JsonNode json, Set<String> fields, String place) throws BadInput {
        Config.onlyFields(json, fields, place);
    }
}
