package slipfield.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import slipfield.policy.DeliveryPolicy.AttemptOutcome;

/** Hours of traffic, faults and replaced endpoints on the fake clock: at rest the module holds no more than one that is new. */
class HoursTest {
    private static final int DESTINATIONS = 6;
    private static final double HOURS_MS = 2 * 3_600_000;
    private static final double GAP_MS = 250;
    private static final double REPLACED_MS = 20_000;
    private static final double REST_MS = 200_000;

    /** Entries of all collections that the module reaches, by the field that holds them. */
    private static Map<String, Integer> tables(Object of) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        count(of, "", sizes, Collections.newSetFromMap(new IdentityHashMap<>()));
        return sizes;
    }

    private static void count(Object of, String field, Map<String, Integer> sizes, Set<Object> seen)
            throws IllegalAccessException {
        Object at = of instanceof Optional<?> o ? o.orElse(null) : of;
        if (at == null || !seen.add(at)) {
            return;
        }
        Collection<?> entries = at instanceof Map<?, ?> m ? m.values() : at instanceof Collection<?> c ? c : null;
        if (entries != null) {
            sizes.merge(field, entries.size(), Integer::sum);
            for (Object entry : entries) {
                count(entry, field, sizes, seen);
            }
        } else if (at.getClass().getName().startsWith("slipfield.policy.WaveDeliveryPolicy")) {
            for (Field f : at.getClass().getDeclaredFields()) {
                if (!Modifier.isStatic(f.getModifiers()) && !f.getType().isPrimitive()) {
                    f.setAccessible(true);
                    count(f.get(at), at.getClass().getSimpleName() + "." + f.getName(), sizes, seen);
                }
            }
        }
    }

    /** One endpoint for each destination; its number tells how often it was replaced. */
    private static long endpoint(int destination, int replaced) {
        return 1000L * (replaced + 1) + destination;
    }

    /** Rests, and does one message a destination, whose end finds and trims what is old. */
    private static Map<String, Integer> atRest(Bench b) throws IllegalAccessException {
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 30);
        for (int pass = 0; pass < 2; pass++) {
            b.until(b.now + REST_MS);
            for (int d = 1; d <= DESTINATIONS; d++) {
                b.take(1_000_000L * (pass + 1) + d, 0, d);
            }
            b.until(b.now + 30_000);
        }
        return tables(b.policy);
    }

    @Test
    void everyTableIsBackAtItsSizeAtRest() throws Exception {
        Bench b = new Bench(8, 100);
        Random random = new Random(11);
        for (int d = 1; d <= DESTINATIONS; d++) {
            b.entry(endpoint(d, 0), d, 0, 0, true);
        }
        AttemptOutcome[] bad = {AttemptOutcome.FULL, AttemptOutcome.ERROR, AttemptOutcome.UNREACHABLE, AttemptOutcome.CANCELLED};
        b.onSend = s -> {
            boolean fails = random.nextInt(100) < (s.at() % 600_000 < 60_000 ? 80 : 10);
            b.endLater(s, fails ? bad[random.nextInt(bad.length)] : AttemptOutcome.DELIVERED, 20 + random.nextInt(400));
        };
        long id = 0;
        int replaced = 0;
        while (b.now < HOURS_MS) {
            b.take(id, (int) (id % 4), 1 + random.nextInt(DESTINATIONS), "key " + id % 50);
            id++;
            if (b.now > (replaced + 1) * REPLACED_MS) {
                int d = 1 + replaced % DESTINATIONS;
                int before = replaced / DESTINATIONS;
                b.entry(endpoint(d, before + 1), d, 0, 0, true);
                b.gone(endpoint(d, before), d);
                replaced++;
            }
            b.until(b.now + GAP_MS);
        }
        // Those that were replaced a moment ago are remembered until the next list.
        b.until(b.now + REST_MS);
        b.list(DESTINATIONS, endpoint(DESTINATIONS, replaced / DESTINATIONS));
        Map<String, Integer> worked = atRest(b);
        Bench fresh = new Bench(8, 100);
        for (int d = 1; d <= DESTINATIONS; d++) {
            int last = (replaced - d + DESTINATIONS) / DESTINATIONS;
            fresh.entry(endpoint(d, last), d, 0, 0, true);
        }
        Map<String, Integer> unused = atRest(fresh);
        assertTrue(replaced > 300, "endpoints were replaced");
        worked.forEach((table, size) -> assertTrue(size <= unused.getOrDefault(table, 0),
                table + " holds " + size + ", one that is new " + unused.get(table)));
    }
}
