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
 * Parses the answers of {@code /v1/health/service/NAME} and {@code /v1/catalog/services}, as documented on the pages "Health"
 * and "Catalog" of Consul's HTTP API.
 */
final class HealthReader {
    private static final String NODE_MAINTENANCE = "_node_maintenance";
    private static final String SERVICE_MAINTENANCE = "_service_maintenance:";
    private static final String DRAINING = "draining";
    private static final String DEST_TAG = "dest=";

    private HealthReader() {
    }

    /**
     * Returns the instances of a service. An instance with invalid attributes is left out and logged.
     *
     * @throws BadInput if the answer or one of its entries has an unexpected format
     */
    static List<Instance> instances(String service, JsonNode answer, ConsulSettings.Mapping mapping) throws BadInput {
        if (!answer.isArray()) {
            throw new BadInput("the answer for service " + service + " is not a list");
        }
        List<Instance> instances = new ArrayList<>();
        for (JsonNode entry : answer) {
            if (!entry.path("Service").isObject() || !entry.path("Node").isObject() || !entry.path("Checks").isArray()) {
                // An unreadable entry must not count as a removed instance, so the whole answer is rejected.
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
            Status reported = switch (check.path("Status").asText()) {
                case "passing" -> Status.PASSING;
                case "warning" -> Status.WARNING;
                default -> id.equals(NODE_MAINTENANCE) || id.startsWith(SERVICE_MAINTENANCE) ? Status.DRAINING
                        : Status.CRITICAL;
            };
            worst = reported.compareTo(worst) > 0 ? reported : worst;
        }
        return worst;
    }

    private static List<String> tags(JsonNode service) {
        List<String> tags = new ArrayList<>();
        service.path("Tags").forEach(tag -> tags.add(tag.asText()));
        return tags;
    }

    private static long destination(JsonNode service, JsonNode meta, ConsulSettings.Mapping mapping) throws BadInput {
        String text = meta.path("destination").asText();
        for (String tag : tags(service)) {
            if (text.isEmpty() && tag.startsWith(DEST_TAG)) {
                text = tag.substring(DEST_TAG.length());
            }
        }
        if (text.isEmpty()) {
            return mapping.destination().orElseThrow(() -> new BadInput("no destination: set one in its Meta, by a tag "
                    + "dest=N, or for the service in the operator's file"));
        }
        try {
            return Long.parseUnsignedLong(text);
        } catch (NumberFormatException e) {
            throw new BadInput("its destination is not a whole number: '" + text + "'");
        }
    }

    private static String zone(JsonNode node, JsonNode meta, ConsulSettings.Mapping mapping) {
        String text = meta.path("zone").asText(node.path("Meta").path("zone").asText());
        return text.isEmpty() ? mapping.zone() : text;
    }

    private static double weight(JsonNode service, JsonNode meta, Status status) throws BadInput {
        String text = meta.path("weight").asText();
        if (text.isEmpty()) {
            return Math.max(0, service.path("Weights").path(status == Status.WARNING ? "Warning" : "Passing").asDouble());
        }
        try {
            double weight = Double.parseDouble(text);
            if (weight >= 0 && weight < Double.POSITIVE_INFINITY) {
                return weight;
            }
        } catch (NumberFormatException e) {
            // Handled like a weight out of range.
        }
        throw new BadInput("its weight is not a number of 0 or more: '" + text + "'");
    }

    /** Returns the names of the services with this tag; empty if the answer is not an object. */
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
