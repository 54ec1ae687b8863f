package slipfield.directory.consul;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.log.Log;
import slipfield.membership.Instance;
import slipfield.membership.Status;

/**
 * Reads the answers of {@code /v1/health/service/NAME} and {@code /v1/catalog/services}. The fields are those of the
 * HTTP API's pages "Health" and "Catalog".
 */
final class HealthReader {
    private static final String NODE_MAINTENANCE = "_node_maintenance";
    private static final String SERVICE_MAINTENANCE = "_service_maintenance:";
    private static final String DRAINING = "draining";
    private static final String DEST_TAG = "dest=";

    private HealthReader() {
    }

    /** The instances of a service; one that can't be used as it is told is left out, and named in the log. */
    static List<Instance> instances(String service, JsonNode answer, ConsulSettings.Mapping mapping) throws BadInput {
        if (!answer.isArray()) {
            throw new BadInput("the answer for service " + service + " is no list");
        }
        List<Instance> instances = new ArrayList<>();
        for (JsonNode entry : answer) {
            if (!entry.path("Service").isObject() || !entry.path("Node").isObject() || !entry.path("Checks").isArray()) {
                // One that can't be read must not pass for one that is gone.
                throw new BadInput("an entry of service " + service + " has no Service, Node or Checks");
            }
            try {
                instances.add(instance(service, entry, mapping));
            } catch (BadInput bad) {
                Log.warn("consul.instance_left_out", "service", service, "instance",
                        entry.path("Service").path("ID").asText(), "cause", bad.getMessage());
            }
        }
        return instances;
    }

    private static Instance instance(String name, JsonNode entry, ConsulSettings.Mapping mapping) throws BadInput {
        JsonNode service = entry.path("Service");
        JsonNode node = entry.path("Node");
        JsonNode meta = service.path("Meta");
        String host = service.path("Address").asText();
        if (host.isEmpty()) {
            host = node.path("Address").asText();
        }
        String address = Config.hostPort(Config.address((host.contains(":") ? "[" + host + "]" : host) + ":"
                + service.path("Port").asInt()));
        Status status = status(entry, service, meta);
        return new Instance(name + "/" + node.path("Node").asText() + "/" + service.path("ID").asText(), address,
                destination(service, meta, mapping), meta.path("kind").asText(mapping.kind()), zone(node, meta, mapping),
                weight(service, meta, status), status);
    }

    private static Status status(JsonNode entry, JsonNode service, JsonNode meta) {
        if (meta.path(DRAINING).asText().equals("true") || tags(service).contains(DRAINING)) {
            return Status.DRAINING;
        }
        Status worst = Status.PASSING;
        for (JsonNode check : entry.path("Checks")) {
            String id = check.path("CheckID").asText();
            Status says = switch (check.path("Status").asText()) {
                case "passing" -> Status.PASSING;
                case "warning" -> Status.WARNING;
                default -> id.equals(NODE_MAINTENANCE) || id.startsWith(SERVICE_MAINTENANCE) ? Status.DRAINING
                        : Status.CRITICAL;
            };
            worst = says.compareTo(worst) > 0 ? says : worst;
        }
        return worst;
    }

    private static List<String> tags(JsonNode service) {
        List<String> tags = new ArrayList<>();
        service.path("Tags").forEach(tag -> tags.add(tag.asText()));
        return tags;
    }

    private static long destination(JsonNode service, JsonNode meta, ConsulSettings.Mapping mapping) throws BadInput {
        String told = meta.path("destination").asText();
        for (String tag : tags(service)) {
            if (told.isEmpty() && tag.startsWith(DEST_TAG)) {
                told = tag.substring(DEST_TAG.length());
            }
        }
        if (told.isEmpty()) {
            return mapping.destination().orElseThrow(() -> new BadInput("no destination: give its Meta one, a tag "
                    + "dest=N, or the service one in the operator's file"));
        }
        try {
            return Long.parseUnsignedLong(told);
        } catch (NumberFormatException e) {
            throw new BadInput("its destination is no whole number: '" + told + "'");
        }
    }

    private static String zone(JsonNode node, JsonNode meta, ConsulSettings.Mapping mapping) {
        String told = meta.path("zone").asText(node.path("Meta").path("zone").asText());
        return told.isEmpty() ? mapping.zone() : told;
    }

    private static double weight(JsonNode service, JsonNode meta, Status status) throws BadInput {
        String told = meta.path("weight").asText();
        if (told.isEmpty()) {
            return Math.max(0, service.path("Weights").path(status == Status.WARNING ? "Warning" : "Passing").asDouble());
        }
        try {
            double weight = Double.parseDouble(told);
            if (weight >= 0 && weight < Double.POSITIVE_INFINITY) {
                return weight;
            }
        } catch (NumberFormatException e) {
            // As one that is out of range.
        }
        throw new BadInput("its weight is no number of 0 or more: '" + told + "'");
    }

    /** Names of services that bear this tag. */
    static Optional<TreeSet<String>> tagged(JsonNode answer, String tag) {
        if (!answer.isObject()) {
            return Optional.empty();
        }
        TreeSet<String> names = new TreeSet<>();
        for (Map.Entry<String, JsonNode> service : answer.properties()) {
            service.getValue().forEach(t -> {
                if (t.asText().equals(tag)) {
                    names.add(service.getKey());
                }
            });
        }
        return Optional.of(names);
    }
}
