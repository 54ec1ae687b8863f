package slipfield.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Seeded histories of what sources may say, and what must hold after each word. */
class MembershipHistoriesTest {
    private static final int HISTORIES = 10_000;
    private static final int STEPS = 40;
    private static final MembershipRules RULES = new MembershipRules(1000, 8000, 5000, 0.5, 3000, 6000);
    private static final List<String> SOURCES = List.of("platform", "consul", "file");

    @Test
    void invariantsHoldInTenThousandHistories() {
        for (int seed = 0; seed < HISTORIES; seed++) {
            new History(seed).play();
        }
    }

    private static final class History {
        private final int seed;
        private final Random random;
        private final Membership view = new Membership(RULES, SOURCES);
        private final Map<String, Map<String, Instance>> said = new HashMap<>();
        /** What whoever applies the changes has. */
        private final Map<String, Member> applied = new HashMap<>();
        /** When each endpoint could last not be used, though it could before. */
        private final Map<String, Long> turned = new HashMap<>();
        private final Set<String> usableBefore = new HashSet<>();
        private final Set<String> everUsed = new HashSet<>();
        private Map<Long, Set<String>> usedBefore = Map.of();
        private Map<Long, Long> heldBefore = Map.of();
        private long now = 1000;

        History(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            SOURCES.forEach(s -> said.put(s, new HashMap<>()));
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                now += random.nextInt(4) == 0 ? random.nextInt(9000) : random.nextInt(300);
                Membership.Change change;
                if (random.nextInt(4) == 0) {
                    now = Math.max(now, Math.min(now + 20_000, view.nextTickMs()));
                    change = view.tick(now);
                } else {
                    String source = SOURCES.get(random.nextInt(SOURCES.size()));
                    mutate(said.get(source));
                    note();
                    change = view.update(now, source, said.get(source).values());
                }
                check(change, "seed " + seed + ", step " + step);
            }
        }

        private void mutate(Map<String, Instance> list) {
            if (random.nextInt(15) == 0) {
                list.clear();
                return;
            }
            int changes = 1 + random.nextInt(random.nextInt(5) == 0 ? 8 : 2);
            for (int i = 0; i < changes; i++) {
                int n = random.nextInt(6);
                String id = "e" + n;
                if (random.nextInt(6) == 0) {
                    list.remove(id);
                } else {
                    int port = 9000 + n + (random.nextInt(12) == 0 ? 100 : 0);
                    Status status = Status.values()[random.nextInt(random.nextInt(3) == 0 ? 4 : 3)];
                    list.put(id, new Instance(id, "127.0.0.1:" + port, n % 2, "m", "a", 1, status));
                }
            }
        }

        private Map<String, Status> worst() {
            Map<String, Status> worst = new HashMap<>();
            said.values().forEach(list -> list.values().forEach(i -> worst.merge(i.key(), i.status(),
                    (a, b) -> a.compareTo(b) > 0 ? a : b)));
            return worst;
        }

        private void note() {
            Set<String> usable = new HashSet<>();
            worst().forEach((key, status) -> {
                if (status.usable()) {
                    usable.add(key);
                }
            });
            for (String key : usable) {
                if (!usableBefore.contains(key)) {
                    turned.put(key, now);
                }
            }
            usableBefore.clear();
            usableBefore.addAll(usable);
        }

        private void check(Membership.Change change, String at) {
            change.removed().forEach(applied::remove);
            change.members().forEach(m -> applied.put(m.id(), m));
            List<Member> members = view.members();
            assertEquals(members.size(), members.stream().map(Member::id).distinct().count(), at + ": ids");
            assertEquals(members.stream().collect(Collectors.toMap(Member::id, m -> m)), applied, at + ": changes");
            Map<String, Status> worst = worst();
            Map<Long, Set<String>> used = new HashMap<>();
            for (Member m : members) {
                String key = m.endpoint().key();
                long pool = m.endpoint().destination();
                Status status = worst.get(key);
                assertEquals(m.reason().used(), m.used(), at);
                if (!m.used()) {
                    continue;
                }
                used.computeIfAbsent(pool, p -> new HashSet<>()).add(key);
                assertTrue(status != Status.DRAINING, at + ": drained and used " + m);
                if (m.reason() == Member.Reason.STEADY) {
                    assertTrue(status != null && status.usable(), at + ": " + m);
                    assertTrue(!everUsed.contains(key) || heldBefore.containsKey(pool)
                            || usedBefore.getOrDefault(pool, Set.of()).contains(key)
                            || now - turned.get(key) >= RULES.steadyMs(), at + ": resumed too soon " + m);
                } else {
                    assertTrue(view.heldPools().containsKey(pool), at + ": held without a floor " + m);
                }
            }
            floors(worst, used, at);
            used.values().forEach(everUsed::addAll);
            // One that left may have been forgotten: it is new then.
            everUsed.retainAll(worst.keySet());
            usedBefore = used;
            heldBefore = view.heldPools();
        }

        private void floors(Map<String, Status> worst, Map<Long, Set<String>> used, String at) {
            worst.forEach((key, status) -> assertTrue(!status.usable()
                    || used.containsKey(Long.parseLong(key.substring(0, key.indexOf('@')))), at
                            + ": a pool is empty though one could be used"));
            usedBefore.forEach((pool, before) -> {
                List<String> lost = new ArrayList<>(before);
                lost.removeIf(key -> worst.get(key) == Status.DRAINING);
                int left = used.getOrDefault(pool, Set.of()).size();
                assertTrue(lost.isEmpty() || left > 0, at + ": emptied");
                assertTrue(heldBefore.containsKey(pool) || left >= (1 - RULES.mostShrink()) * lost.size(), at
                        + ": shrunk from " + before + " to " + used.get(pool));
            });
        }
    }
}
