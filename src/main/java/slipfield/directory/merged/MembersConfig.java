package slipfield.directory.merged;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.directory.consul.ConsulSettings;
import slipfield.membership.Instance;
import slipfield.membership.Rules;
import slipfield.membership.Status;

/**
 * The operator's file of endpoints' sources.
 *
 * @param precedence the sources that are used, of {@code platform}, {@code consul} and {@code file}; where several name an
 *     endpoint, the first one's attributes hold
 * @param file the endpoints that the file itself names
 */
public record MembersConfig(List<String> precedence, Rules rules, Optional<ConsulSettings> consul,
        List<Instance> file) {
    static final String PLATFORM = "platform";
    static final String CONSUL = "consul";
    static final String FILE = "file";

    /** Reads it; an error names the file, the field and the mend. */
    public static MembersConfig read(Path path) throws IOException, BadInput {
        try {
            JsonNode json = JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build()
                    .readTree(Files.readAllBytes(path));
            return read(json, path.toAbsolutePath().getParent());
        } catch (JsonProcessingException e) {
            throw new BadInput(path + ", line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
        } catch (BadInput | IllegalArgumentException e) {
            throw new BadInput(path + ": " + e.getMessage());
        }
    }

    private static MembersConfig read(JsonNode json, Path folder) throws BadInput {
        Config.onlyFields(json, Set.of("precedence", "rules", "consul", "endpoints"), "the file");
        List<String> precedence = new ArrayList<>();
        json.path("precedence").forEach(name -> precedence.add(name.asText()));
        Set<String> sources = Set.of(PLATFORM, CONSUL, FILE);
        if (precedence.isEmpty() || !sources.containsAll(precedence)
                || new HashSet<>(precedence).size() < precedence.size()) {
            throw new BadInput("precedence is to name sources once each, of platform, consul and file");
        }
        if (precedence.contains(CONSUL) != json.has(CONSUL)) {
            throw new BadInput("consul is to be in precedence and have its part, or neither");
        }
        Optional<ConsulSettings> consul = json.has(CONSUL)
                ? Optional.of(ConsulSettings.read(json.path(CONSUL), folder)) : Optional.empty();
        return new MembersConfig(precedence, rules(json.path("rules")), consul, endpoints(json.path("endpoints")));
    }

    private static Rules rules(JsonNode json) throws BadInput {
        Rules d = Rules.DEFAULT;
        if (json.isMissingNode()) {
            return d;
        }
        Config.onlyFields(json, Set.of("steady_ms", "most_steady_ms", "forgive_ms", "most_shrink", "window_ms",
                "accept_ms"), "rules");
        for (Map.Entry<String, JsonNode> rule : json.properties()) {
            if (!rule.getValue().isNumber()) {
                throw new BadInput("rules." + rule.getKey() + " is a number, not " + rule.getValue());
            }
        }
        return new Rules(json.path("steady_ms").asLong(d.steadyMs()),
                json.path("most_steady_ms").asLong(d.mostSteadyMs()), json.path("forgive_ms").asLong(d.forgiveMs()),
                json.path("most_shrink").asDouble(d.mostShrink()), json.path("window_ms").asLong(d.windowMs()),
                json.path("accept_ms").asLong(d.acceptMs()));
    }

    private static List<Instance> endpoints(JsonNode json) throws BadInput {
        List<Instance> endpoints = new ArrayList<>();
        for (JsonNode e : json) {
            Config.onlyFields(e, Set.of("id", "address", "destination", "kind", "zone", "weight", "draining"),
                    "endpoints");
            if (!e.path("id").isTextual() || !e.path("destination").isIntegralNumber()) {
                throw new BadInput("endpoints: each has an id, an address and a whole destination, unlike " + e);
            }
            endpoints.add(new Instance(e.path("id").asText(),
                    Config.hostPort(Config.address(e.path("address").asText())), e.path("destination").asLong(),
                    e.path("kind").asText(), e.path("zone").asText(), e.path("weight").asDouble(),
                    e.path("draining").asBoolean() ? Status.DRAINING : Status.PASSING));
        }
        return endpoints;
    }
}
