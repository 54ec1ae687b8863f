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

/**
 * Guards against collections of the decision module that grow without limit: after two simulated hours of traffic, faults and
 * replaced endpoints, an idle instance holds no more entries than a new one.
 */
class HoursTest {
    private static final int DESTINATIONS = 6;
    private static final double DURATION_MS = 2 * 3_600_000;
    private static final double MESSAGE_INTERVAL_MS = 250;
    private static final double REPLACEMENT_INTERVAL_MS = 20_000;
    private static final double IDLE_MS = 200_000;

    /** Counts the entries of all collections that the module refers to, by the field that holds them. */
    private static Map<String, Integer> collectionSizes(Object of) throws IllegalAccessException {
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

    /** Returns the number of a destination's only endpoint, after it was replaced this many times. */
    private static long endpoint(int destination, int replaced) {
        return 1000L * (replaced + 1) + destination;
    }

    /** Counts after idle time and one message per destination, whose end removes old entries. */
    private static Map<String, Integer> sizesWhenIdle(PolicyHarness b) throws IllegalAccessException {
        b.onSend = s -> b.endLater(s, AttemptOutcome.DELIVERED, 30);
        for (int pass = 0; pass < 2; pass++) {
            b.until(b.now + IDLE_MS);
            for (int d = 1; d <= DESTINATIONS; d++) {
                b.accept(1_000_000L * (pass + 1) + d, 0, d);
            }
            b.until(b.now + 30_000);
        }
        return collectionSizes(b.policy);
    }

    @Test
    void everyCollectionIsBackAtItsIdleSize() throws Exception {
        PolicyHarness b = new PolicyHarness(8, 100);
        Random random = new Random(11);
        for (int d = 1; d <= DESTINATIONS; d++) {
            b.entry(endpoint(d, 0), d, 0, 0, true);
        }
        AttemptOutcome[] failures = {AttemptOutcome.FULL, AttemptOutcome.ERROR, AttemptOutcome.UNREACHABLE,
                AttemptOutcome.CANCELLED};
        b.onSend = s -> {
            boolean fails = random.nextInt(100) < (s.at() % 600_000 < 60_000 ? 80 : 10);
            b.endLater(s, fails ? failures[random.nextInt(failures.length)] : AttemptOutcome.DELIVERED, 20 + random.nextInt(400));
        };
        long id = 0;
        int replaced = 0;
        while (b.now < DURATION_MS) {
            b.accept(id, (int) (id % 4), 1 + random.nextInt(DESTINATIONS), "key " + id % 50);
            id++;
            if (b.now > (replaced + 1) * REPLACEMENT_INTERVAL_MS) {
                int d = 1 + replaced % DESTINATIONS;
                int before = replaced / DESTINATIONS;
                b.entry(endpoint(d, before + 1), d, 0, 0, true);
                b.remove(endpoint(d, before), d);
                replaced++;
            }
            b.until(b.now + MESSAGE_INTERVAL_MS);
        }
        // Recently replaced endpoints are remembered until the next endpoint list.
        b.until(b.now + IDLE_MS);
        b.list(DESTINATIONS, endpoint(DESTINATIONS, replaced / DESTINATIONS));
        Map<String, Integer> afterTraffic = sizesWhenIdle(b);
        PolicyHarness newInstance = new PolicyHarness(8, 100);
        for (int d = 1; d <= DESTINATIONS; d++) {
            int last = (replaced - d + DESTINATIONS) / DESTINATIONS;
            newInstance.entry(endpoint(d, last), d, 0, 0, true);
        }
        Map<String, Integer> unused = sizesWhenIdle(newInstance);
        assertTrue(replaced > 300, "endpoints were replaced");
        afterTraffic.forEach((field, size) -> assertTrue(size <= unused.getOrDefault(field, 0),
                field + " holds " + size + " entries, in a new instance " + unused.get(field)));
    }
}
