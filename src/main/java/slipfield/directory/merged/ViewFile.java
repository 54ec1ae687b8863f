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
 * The view on disk: what each source said last, for the next life, and the merged view, for whoever asks. One that can't
 * be read counts as none.
 */
final class ViewFile implements AutoCloseable {
    private static final int VERSION = 1;

    private final BackgroundJsonFile file;
    private final JsonMapper json = JsonMapper.builder().build();

    /** What a source had said, and when by the wall clock. */
    record Recalled(long heardMs, List<Instance> instances) {
    }

    ViewFile(Path folder) {
        this.file = new BackgroundJsonFile(folder.resolve(MergedDirectory.VIEW_FILE), "members.view_unwritable");
    }

    /** It is written by this worker. */
    void by(Worker worker) {
        file.setWorker(worker);
    }

    /** What was kept of this source; nothing where none was, or the file is damaged. */
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

    /** The view at a time: nothing of it changes any more, so that it can be written on another thread. */
    private record Snapshot(Map<String, Membership.SourceState> states, Map<String, Collection<Instance>> told,
            Map<Long, Long> held, List<Member> members, long nowMs, long wallMs) {
        long wall(long atMs) {
            return wallMs - (nowMs - atMs);
        }
    }

    /** Writes the view as it is now; here it is only taken down, all else is the writer's. */
    void write(Membership membership, long nowMs, long wallMs) {
        Map<String, Membership.SourceState> states = membership.sourceStates(nowMs);
        Map<String, Collection<Instance>> told = new HashMap<>();
        states.keySet().forEach(source -> told.put(source, membership.lastInstances(source)));
        Snapshot taken = new Snapshot(states, told, membership.heldPools(), membership.members(), nowMs, wallMs);
        file.write(() -> view(taken));
    }

    private ObjectNode view(Snapshot taken) {
        ObjectNode view = json.createObjectNode().put("version", VERSION).put("written_ms", taken.wallMs);
        ObjectNode sources = view.putObject("sources");
        taken.states.forEach((source, state) -> {
            ObjectNode of = sources.putObject(source).put("heard", state.reported())
                    .put("heard_ms", state.reported() ? taken.wallMs - state.ageMs() : 0)
                    .put("trouble", state.error().orElse(""));
            ArrayNode instances = of.putArray("instances");
            taken.told.get(source).forEach(i -> instances.addObject().put("id", i.id())
                    .put("address", i.address()).put("destination", i.destination()).put("kind", i.kind())
                    .put("zone", i.zone()).put("weight", i.weight()).put("status", i.status().name()));
        });
        ObjectNode held = view.putObject("held");
        taken.held.forEach((pool, since) -> held.put(pool.toString(), taken.wall(since)));
        ArrayNode members = view.putArray("members");
        for (Member m : taken.members) {
            ObjectNode member = members.addObject().put("id", m.id()).put("address", m.endpoint().address())
                    .put("destination", m.endpoint().destination()).put("used", m.used()).put("why", m.reason().name())
                    .put("since_ms", taken.wall(m.sinceMs()))
                    .put("again_ms", m.usableAgainMs() == 0 ? 0 : taken.wall(m.usableAgainMs()));
            ObjectNode says = member.putObject("says");
            m.statusBySource().forEach((source, status) -> says.put(source, status.name()));
        }
        return view;
    }

    /** What was to be written is, if the disk lets it. */
    @Override
    public void close() {
        file.close();
    }
}
