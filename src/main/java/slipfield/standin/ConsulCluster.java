package slipfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a stand-in Consul's servers know: nodes, services, checks, and the index of each change. An index of a query is
 * that of the last change to what it reads, so that a blocking query ends when its own answer changes and not before;
 * a service that is not there has the index of the last change to the catalogue. Guarded by itself.
 */
public final class ConsulCluster {
    /** The node of what is registered at an agent. */
    public static final String NODE = "node-1";
    private static final String NODE_ADDRESS = "127.0.0.1";
    private static final String DATACENTER = "dc1";
    private static final String NODE_MAINTENANCE = "_node_maintenance";
    private static final String SERVICE_MAINTENANCE = "_service_maintenance:";

    private static final Pattern EQUAL = Pattern.compile("Service\\.([\\w.-]+)\\s*(==|!=)\\s*\"([^\"]*)\"");
    private static final Pattern IN = Pattern.compile("\"([^\"]*)\"\\s+in\\s+Service\\.Tags");

    private final JsonMapper json = JsonMapper.builder().build();
    private final LongSupplier nowMs;
    /** By id; one node bears them all, unless the catalogue is told otherwise. */
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Check> checks = new TreeMap<>();
    /** The index of the last change to each service's health. */
    private final Map<String, Long> serviceIndex = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long index = 10;
    private long catalogIndex = 10;
    private Optional<String> token = Optional.empty();

    private record Service(String id, String name, String node, String address, int port, List<String> tags,
            Map<String, String> meta, int passingWeight, int warningWeight, long created, long modified) {
    }

    private static final class Check {
        private final String id;
        private final String name;
        /** Empty: of the node. */
        private final String service;
        private String status;
        private String output = "";
        private String notes = "";
        private long ttlMs;
        private long expiresMs = Long.MAX_VALUE;

        Check(String id, String name, String service, String status) {
            this.id = id;
            this.name = name;
            this.service = service;
            this.status = status;
        }
    }

    /** An answer and the index that it is of. */
    record Answer(JsonNode body, long index) {
    }

    /** By the system's clock. */
    public ConsulCluster() {
        this(() -> System.nanoTime() / 1_000_000);
    }

    ConsulCluster(LongSupplier nowMs) {
        this.nowMs = nowMs;
    }

    /** A copy that knows nothing of what comes: what a server that lags has. */
    synchronized ConsulCluster copy() {
        ConsulCluster copy = new ConsulCluster(nowMs);
        copy.services.putAll(services);
        checks.forEach((id, c) -> {
            Check same = new Check(c.id, c.name, c.service, c.status);
            same.output = c.output;
            same.notes = c.notes;
            copy.checks.put(id, same);
        });
        copy.serviceIndex.putAll(serviceIndex);
        copy.index = index;
        copy.catalogIndex = catalogIndex;
        copy.token = token;
        return copy;
    }

    /** Runs this at the next change of anything, once. */
    synchronized void onChange(Runnable then) {
        waiting.add(then);
    }

    synchronized void offChange(Runnable then) {
        waiting.remove(then);
    }

    private void changed(String... names) {
        index++;
        for (String name : names) {
            serviceIndex.put(name, index);
        }
        wake();
    }

    private void wake() {
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(Runnable::run);
    }

    private void catalogChanged(String name) {
        changed(name);
        catalogIndex = index;
    }

    /** Every request needs this token from now on; empty: none. */
    public synchronized void token(String required) {
        token = required.isEmpty() ? Optional.empty() : Optional.of(required);
    }

    synchronized boolean allows(Optional<String> given) {
        return token.isEmpty() || token.equals(given);
    }

    /** As after a restore from an older snapshot: indexes go back, what is known stays. */
    public synchronized void restore(long back) {
        index = Math.max(1, back);
        catalogIndex = index;
        serviceIndex.replaceAll((name, i) -> index);
        wake();
    }

    /** The last change's index. */
    public synchronized long index() {
        return index;
    }

    /** Registers a service with a passing check of its own. */
    public synchronized void register(String name, String id, String address, int port, List<String> tags,
            Map<String, String> meta) {
        put(new Service(id, name, NODE, address, port, List.copyOf(tags), new TreeMap<>(meta), 1, 1, 0, 0));
        checks.put(checkOf(id), new Check(checkOf(id), "check of " + id, id, "passing"));
    }

    private void put(Service s) {
        Service before = services.get(s.id);
        catalogChanged(s.name);
        if (before != null && !before.name.equals(s.name)) {
            serviceIndex.put(before.name, index);
        }
        services.put(s.id, new Service(s.id, s.name, s.node, s.address, s.port, s.tags, s.meta, s.passingWeight,
                s.warningWeight, before == null ? index : before.created, index));
    }

    /** Takes a service off, with its checks; false: there is none. */
    public synchronized boolean deregister(String id) {
        Service gone = services.remove(id);
        if (gone == null) {
            return false;
        }
        checks.values().removeIf(c -> c.service.equals(id));
        catalogChanged(gone.name);
        return true;
    }

    /** Sets the own check of a service; false: there is none. */
    public synchronized boolean serviceCheck(String id, String status) {
        return check(checkOf(id), status);
    }

    private static String checkOf(String service) {
        return "service:" + service;
    }

    /** Takes all services off. */
    public synchronized void clear() {
        new TreeSet<>(services.keySet()).forEach(this::deregister);
    }

    /** Sets a check, {@code passing}, {@code warning} or {@code critical}; false: there is none. */
    public synchronized boolean check(String id, String status) {
        Check check = checks.get(id);
        if (check == null) {
            return false;
        }
        check.expiresMs = check.ttlMs == 0 ? Long.MAX_VALUE : nowMs.getAsLong() + check.ttlMs;
        if (!check.status.equals(status)) {
            check.status = status;
            changed(namesOf(check));
        }
        return true;
    }

    /** The status of a service's own check, of the first of this name; empty: there is none. */
    public synchronized String status(String name) {
        return named(name, Optional.empty()).stream().findFirst().map(s -> checks.get(checkOf(s.id)))
                .map(c -> c.status).orElse("");
    }

    /** Sets checks of several services as one change of each. */
    public synchronized void checks(Collection<String> serviceIds, String status) {
        TreeSet<String> names = new TreeSet<>();
        for (String id : serviceIds) {
            Check check = checks.get(checkOf(id));
            check.status = status;
            names.addAll(List.of(namesOf(check)));
        }
        changed(names.toArray(String[]::new));
    }

    private String[] namesOf(Check check) {
        return services.values().stream().filter(s -> check.service.isEmpty() || s.id.equals(check.service))
                .map(Service::name).distinct().toArray(String[]::new);
    }

    /** Maintenance of a service, or of the node where {@code id} is empty; false: there is no such service. */
    public synchronized boolean maintenance(String id, boolean on, String reason) {
        if (!id.isEmpty() && !services.containsKey(id)) {
            return false;
        }
        String check = id.isEmpty() ? NODE_MAINTENANCE : SERVICE_MAINTENANCE + id;
        Check put = new Check(check, id.isEmpty() ? "Node Maintenance Mode" : "Service Maintenance Mode", id, "critical");
        put.notes = reason;
        Check before = on ? checks.put(check, put) : checks.remove(check);
        if (on || before != null) {
            changed(namesOf(put));
        }
        return true;
    }

    /** Checks whose time to live has passed become critical. */
    public synchronized void expire() {
        long now = nowMs.getAsLong();
        for (Check check : List.copyOf(checks.values())) {
            if (check.expiresMs <= now) {
                check.expiresMs = Long.MAX_VALUE;
                check.status = "critical";
                check.output = "TTL expired";
                changed(namesOf(check));
            }
        }
    }

    /** The agent's registration, as the API has it; returns what is wrong with it, if anything. */
    synchronized Optional<String> register(JsonNode body) {
        String name = body.path("Name").asText();
        if (name.isEmpty()) {
            return Optional.of("Missing service name");
        }
        String id = body.path("ID").asText();
        id = id.isEmpty() ? name : id;
        List<String> tags = new ArrayList<>();
        body.path("Tags").forEach(t -> tags.add(t.asText()));
        Map<String, String> meta = new TreeMap<>();
        body.path("Meta").properties().forEach(e -> meta.put(e.getKey(), e.getValue().asText()));
        put(new Service(id, name, NODE, body.path("Address").asText(), body.path("Port").asInt(), tags, meta,
                body.path("Weights").path("Passing").asInt(1), body.path("Weights").path("Warning").asInt(1), 0, 0));
        Optional<String> wrong = body.path("Check").isObject() ? registerCheck(body.path("Check"), id) : Optional.empty();
        for (JsonNode check : body.path("Checks")) {
            if (wrong.isEmpty()) {
                wrong = registerCheck(check, id);
            }
        }
        return wrong;
    }

    /** A check as the API has it, of this service unless it names another. */
    synchronized Optional<String> registerCheck(JsonNode body, String service) {
        String of = body.path("ServiceID").asText(service);
        String id = body.path("CheckID").asText(body.path("ID").asText());
        if (id.isEmpty()) {
            id = of.isEmpty() ? body.path("Name").asText() : checkOf(of);
        }
        if (id.isEmpty()) {
            return Optional.of("Missing check name");
        }
        Check check = new Check(id, body.path("Name").asText(id), of, body.path("Status").asText("critical"));
        check.notes = body.path("Notes").asText();
        if (body.path("TTL").isTextual()) {
            Optional<Long> ttl = durationMs(body.path("TTL").asText());
            if (ttl.isEmpty()) {
                return Optional.of("Invalid TTL: time: invalid duration");
            }
            check.ttlMs = ttl.get();
            check.expiresMs = nowMs.getAsLong() + check.ttlMs;
        }
        checks.put(id, check);
        changed(namesOf(check));
        return Optional.empty();
    }

    synchronized boolean deregisterCheck(String id) {
        Check gone = checks.remove(id);
        if (gone == null) {
            return false;
        }
        changed(namesOf(gone));
        return true;
    }

    /** Milliseconds of a duration such as {@code 10s} or {@code 1m30s}; empty: it is none. */
    static Optional<Long> durationMs(String text) {
        Matcher parts = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m|h)").matcher(text);
        double sum = 0;
        int end = 0;
        while (parts.find() && parts.start() == end) {
            end = parts.end();
            sum += Double.parseDouble(parts.group(1)) * switch (parts.group(2)) {
                case "ms" -> 1;
                case "s" -> 1000;
                case "m" -> 60_000;
                default -> 3_600_000;
            };
        }
        return end == text.length() && end > 0 ? Optional.of((long) sum) : Optional.empty();
    }

    /**
     * A filter on services: {@code Service.FIELD == "value"}, {@code !=}, {@code Service.Meta.KEY == "value"}, {@code "tag" in
     * Service.Tags}, joined by {@code and}; empty: this stand-in can't read it.
     */
    static Optional<Predicate<JsonNode>> filter(String text) {
        Predicate<JsonNode> all = service -> true;
        for (String part : text.trim().split("\\s+and\\s+")) {
            Matcher equal = EQUAL.matcher(part);
            Matcher in = IN.matcher(part);
            if (equal.matches()) {
                String[] path = equal.group(1).split("\\.", 2);
                String wanted = equal.group(3);
                boolean same = equal.group(2).equals("==");
                all = all.and(s -> (path.length == 2 ? s.path(path[0]).path(path[1]) : s.path(path[0])).asText()
                        .equals(wanted) == same);
            } else if (in.matches()) {
                all = all.and(s -> {
                    boolean there = false;
                    for (JsonNode tag : s.path("Tags")) {
                        there |= tag.asText().equals(in.group(1));
                    }
                    return there;
                });
            } else {
                return Optional.empty();
            }
        }
        return Optional.of(all);
    }

    /** {@code /v1/catalog/services}. */
    synchronized Answer catalog() {
        ObjectNode body = json.createObjectNode();
        body.putArray("consul");
        services.values().forEach(s -> {
            ArrayNode tags = body.withArray("/" + s.name.replace("~", "~0").replace("/", "~1"));
            s.tags.forEach(t -> {
                boolean there = false;
                for (JsonNode tag : tags) {
                    there |= tag.asText().equals(t);
                }
                if (!there) {
                    tags.add(t);
                }
            });
        });
        return new Answer(body, catalogIndex);
    }

    /** {@code /v1/catalog/nodes}. */
    synchronized Answer nodes() {
        return new Answer(json.createArrayNode().add(node()), catalogIndex);
    }

    private ObjectNode node() {
        ObjectNode node = json.createObjectNode().put("ID", "00000000-0000-0000-0000-000000000001").put("Node", NODE)
                .put("Address", NODE_ADDRESS).put("Datacenter", DATACENTER);
        node.putObject("TaggedAddresses").put("lan", NODE_ADDRESS).put("wan", NODE_ADDRESS);
        node.putObject("Meta");
        return node.put("CreateIndex", 1).put("ModifyIndex", 1);
    }

    /** {@code /v1/catalog/service/NAME}. */
    synchronized Answer catalogService(String name, Optional<String> tag) {
        ArrayNode body = json.createArrayNode();
        for (Service s : named(name, tag)) {
            ObjectNode entry = node().put("ServiceID", s.id).put("ServiceName", s.name).put("ServiceAddress", s.address)
                    .put("ServicePort", s.port);
            s.tags.forEach(entry.putArray("ServiceTags")::add);
            ObjectNode meta = entry.putObject("ServiceMeta");
            s.meta.forEach(meta::put);
            body.add(entry.put("CreateIndex", s.created).put("ModifyIndex", s.modified));
        }
        return new Answer(body, indexOf(name));
    }

    /** {@code /v1/health/service/NAME}. */
    synchronized Answer health(String name, Optional<String> tag, boolean passing, Predicate<JsonNode> filter) {
        ArrayNode body = json.createArrayNode();
        for (Service s : named(name, tag)) {
            if (!filter.test(service(s))) {
                continue;
            }
            ArrayNode its = json.createArrayNode();
            boolean all = true;
            for (Check c : checks.values()) {
                if (c.service.isEmpty() || c.service.equals(s.id)) {
                    its.add(check(c));
                    all &= c.status.equals("passing");
                }
            }
            if (passing && !all) {
                continue;
            }
            ObjectNode entry = body.addObject();
            entry.set("Node", node());
            entry.set("Service", service(s));
            entry.set("Checks", its);
        }
        return new Answer(body, indexOf(name));
    }

    private List<Service> named(String name, Optional<String> tag) {
        return services.values().stream().filter(s -> s.name.equals(name) && tag.map(s.tags::contains).orElse(true))
                .toList();
    }

    private long indexOf(String name) {
        boolean there = services.values().stream().anyMatch(s -> s.name.equals(name));
        return there ? serviceIndex.get(name) : Math.max(catalogIndex, serviceIndex.getOrDefault(name, 0L));
    }

    private ObjectNode service(Service s) {
        ObjectNode service = json.createObjectNode().put("ID", s.id).put("Service", s.name);
        s.tags.forEach(service.putArray("Tags")::add);
        service.put("Address", s.address);
        ObjectNode meta = service.putObject("Meta");
        s.meta.forEach(meta::put);
        service.put("Port", s.port);
        service.putObject("Weights").put("Passing", s.passingWeight).put("Warning", s.warningWeight);
        return service.put("EnableTagOverride", false).put("CreateIndex", s.created).put("ModifyIndex", s.modified);
    }

    private ObjectNode check(Check c) {
        Service of = services.get(c.service);
        ObjectNode check = json.createObjectNode().put("Node", NODE).put("CheckID", c.id).put("Name", c.name)
                .put("Status", c.status).put("Notes", c.notes).put("Output", c.output).put("ServiceID", c.service)
                .put("ServiceName", of == null ? "" : of.name);
        (of == null ? List.<String>of() : of.tags).forEach(check.putArray("ServiceTags")::add);
        return check;
    }

    /** {@code /v1/agent/services}. */
    synchronized JsonNode agentServices() {
        ObjectNode body = json.createObjectNode();
        services.values().forEach(s -> body.set(s.id, service(s)));
        return body;
    }

    /** {@code /v1/agent/checks}. */
    synchronized JsonNode agentChecks() {
        ObjectNode body = json.createObjectNode();
        checks.values().forEach(c -> body.set(c.id, check(c)));
        return body;
    }

    /** {@code /v1/health/state/STATE}. */
    synchronized Answer state(String state) {
        ArrayNode body = json.createArrayNode();
        checks.values().stream().filter(c -> state.equals("any") || c.status.equals(state)).forEach(c -> body.add(check(c)));
        return new Answer(body, index);
    }

    /** {@code /v1/agent/self}, as far as clients look at it. */
    JsonNode self() {
        ObjectNode self = json.createObjectNode();
        self.putObject("Config").put("Datacenter", DATACENTER).put("NodeName", NODE).put("Server", true)
                .put("Version", "1.20.0");
        self.putObject("Member").put("Name", NODE).put("Addr", NODE_ADDRESS);
        return self;
    }
}
