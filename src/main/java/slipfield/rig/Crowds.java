package slipfield.rig;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Fault.Kind;
import slipfield.standin.ClientCrowd;
import slipfield.standin.CrowdBehavior;
import slipfield.standin.TrialWorld;

/** The crowds of clients that ask nothing, or never complete a request, at the senders that they strike. */
final class Crowds implements AutoCloseable {
    private static final Map<Kind, List<CrowdBehavior>> BEHAVIORS = Map.of(Kind.CROWD, List.of(CrowdBehavior.SILENT),
            Kind.HOSTILE_CROWD, List.of(CrowdBehavior.values()));

    private final TrialWorld world;
    private final int senders;
    private final Map<Fault, List<ClientCrowd>> standing = new HashMap<>();

    Crowds(TrialWorld world, int senders) {
        this.world = world;
        this.senders = senders;
    }

    /** These faults hold from now on, and no others. */
    void set(Set<Fault> now) {
        standing.entrySet().removeIf(entry -> {
            boolean over = !now.contains(entry.getKey());
            if (over) {
                entry.getValue().forEach(ClientCrowd::close);
            }
            return over;
        });
        now.stream().filter(f -> BEHAVIORS.containsKey(f.kind())).forEach(f -> standing.computeIfAbsent(f, this::gather));
    }

    private List<ClientCrowd> gather(Fault fault) {
        return IntStream.range(0, senders).filter(fault::strikes)
                .mapToObj(i -> new ClientCrowd(world.sender(i), (int) fault.size(), BEHAVIORS.get(fault.kind()))).toList();
    }

    @Override
    public void close() {
        set(Set.of());
    }
}
