package slipfield.directory.merged;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import slipfield.log.Log;
import slipfield.membership.Instance;
import slipfield.membership.Member;
import slipfield.membership.Membership;
import slipfield.membership.Status;
import slipfield.state.BackgroundJsonFile;
import slipfield.work.Worker;

/**
 * The view on disk: the last list of each source, for the process after a restart, and the merged view, for operators' tools.
 * A file that can't be read is ignored.
 */
final class ViewFile implements AutoCloseable {
    private static final int VERSION = 1;

    private final BackgroundJsonFile file;
    private final JsonMapper json = JsonMapper.builder().build();

    /** The stored list of a source, and when it was received, in ms since the epoch. */
    record Recalled(long heardMs, List<Instance> instances) {
    }

    ViewFile(Path folder) {
        this.file = new BackgroundJsonFile(folder.resolve(MergedDirectory.VIEW_FILE), "members.view_unwritable");
    }

    /** Sets the worker that writes the file. */
    void setWorker(Worker worker) {
        file.setWorker(worker);
    }

    /** Returns the stored list of a source; empty if there is none or the file is damaged. */
    Recalled recall(String source) {
        List<Instance> instances = new ArrayList<>();
        try {
            if (!Files.exists(file.path())) {
                return new Recalled(0, List.of());
            }
            JsonNode kept = json.readTree(Files.readAllBytes(file.path()));
            JsonNode of = kept.path("sources").path(source);
            for (JsonNode i : of.path("instances")) {
                instances.add(new Instance(i.path("id").asText(), i.path("address").asText(),
                        i.path("destination").asLong(), i.path("kind").asText(), i.path("zone").asText(),
                        i.path("weight").asDouble(), Status.valueOf(i.path("status").asText())));
            }
            return new Recalled(of.path("heard_ms").asLong(), instances);
        } catch (IOException | IllegalArgumentException e) {
            Log.warn("members.view_unreadable", "cause", e);
            return new Recalled(0, List.of());
        }
    }

    /** An immutable copy of the view, which another thread can write. */
    private record Snapshot(Map<String, Membership.SourceState> states, Map<String, Collection<Instance>> instances,
            Map<Long, Long> held, List<Member> members, long nowMs, long wallMs) {
        long wall(long atMs) {
            return wallMs - (nowMs - atMs);
        }
    }

    /** Writes the current view: copies it here, and formats and writes it on the worker. */
    void write(Membership membership, long nowMs, long wallMs) {
        Map<String, Membership.SourceState> states = membership.sourceStates(nowMs);
        Map<String, Collection<Instance>> instances = new HashMap<>();
        states.keySet().forEach(source -> instances.put(source, membership.lastInstances(source)));
        Snapshot snapshot = new Snapshot(states, instances, membership.heldPools(), membership.members(), nowMs, wallMs);
        file.write(() -> view(snapshot));
    }

    private ObjectNode view(Snapshot snapshot) {
        ObjectNode view = json.createObjectNode().put("version", VERSION).put("written_ms", snapshot.wallMs);
        ObjectNode sources = view.putObject("sources");
        snapshot.states.forEach((source, state) -> {
            ObjectNode of = sources.putObject(source).put("heard", state.reported())
                    .put("heard_ms", state.reported() ? snapshot.wallMs - state.ageMs() : 0)
                    .put("trouble", state.error().orElse(""));
            ArrayNode instances = of.putArray("instances");
            snapshot.instances.get(source).forEach(i -> instances.addObject().put("id", i.id())
                    .put("address", i.address()).put("destination", i.destination()).put("kind", i.kind())
                    .put("zone", i.zone()).put("weight", i.weight()).put("status", i.status().name()));
        });
        ObjectNode held = view.putObject("held");
        snapshot.held.forEach((pool, since) -> held.put(pool.toString(), snapshot.wall(since)));
        ArrayNode members = view.putArray("members");
        for (Member m : snapshot.members) {
            ObjectNode member = members.addObject().put("id", m.id()).put("address", m.endpoint().address())
                    .put("destination", m.endpoint().destination()).put("used", m.used()).put("why", m.reason().name())
                    .put("since_ms", snapshot.wall(m.sinceMs()))
                    .put("again_ms", m.usableAgainMs() == 0 ? 0 : snapshot.wall(m.usableAgainMs()));
            ObjectNode says = member.putObject("says");
            m.statusBySource().forEach((source, status) -> says.put(source, status.name()));
        }
        return view;
    }

    /** Writes a pending view, if the disk allows it. */
    @Override
    public void close() {
        file.close();
    }
}
