package slipfield.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import slipfield.policy.DeliveryPolicy;

class ParamsTest {
    @ParameterizedTest
    @ValueSource(strings = {"0", "-3", "NaN", "Infinity", "many", "1e12", ""})
    void aFleetSizeThatNoFleetHasIsNotBelieved(String told) {
        assertTrue(new Params(Map.of("fleet_size", told)).fleetSize().isEmpty());
        assertTrue(new Params(Map.of()).fleetSize().isEmpty());
    }

    @Test
    void aFleetSizeIsRead() {
        assertEquals(14, new Params(Map.of("fleet_size", "14.0")).fleetSize().orElse(0));
    }

    /** Each is told with its key, its value and what to put there, and the journal is not touched: it is read after this. */
    @ParameterizedTest
    @CsvSource({"family_info.workers, 0, 'setting family_info.workers is 0: give 1 or more'",
            "limits.most_tries, NaN, 'setting limits.most_tries is NaN: give 1 or more'",
            "limits.most_tries, few, 'setting limits.most_tries is ''few'': give a number'",
            "rules.warm_after_ms, soon, 'setting rules.warm_after_ms is ''soon'': give a number'",
            "classes.count, 0, 'setting classes names none'",
            "classes.0.repeat, sometimes, 'unknown value of classes.0.repeat'",
            "family_info.batch_by_kind, -, 'name no kind'"})
    void whatMakesNoSenseIsToldWithItsKey(String key, String value, String told) throws Exception {
        Map<String, String> settings = new HashMap<>(Map.of("classes.count", "1", "classes.0.repeat", "safe",
                "classes.0.aim_ms", "1000", "classes.0.give_up_ms", "4000", "family_info.workers", "3", "limits.most_tries", "4",
                "family_info.batch_by_kind", "1", "rules.start_capacity", "0.2", "rules.warm_after_ms", "9000"));
        settings.putAll(Map.of("rules.fall_multiple", "2", "rules.fall_ms", "1500"));
        assertEquals(1, new Params(settings).settings().senders());
        settings.put(key, value);
        BadInput bad = assertThrows(BadInput.class, () -> new Params(settings).settings());
        assertTrue(bad.getMessage().contains(told), bad.getMessage());
    }

    @Test
    void whatAnAnswerTellsOfALimitIsBoundedOrNotBelieved() {
        for (double rate : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertEquals(new DeliveryPolicy.LimitReport(0, -1), new DeliveryPolicy.LimitReport(rate, 0.5));
        }
        for (double left : new double[] {-0.1, Double.NaN}) {
            assertEquals(new DeliveryPolicy.LimitReport(20, -1), new DeliveryPolicy.LimitReport(20, left));
        }
        assertEquals(1, new DeliveryPolicy.LimitReport(20, 7).remainingShare());
        assertEquals(0, new DeliveryPolicy.Endpoint(1, 1, 0, 0, true, Double.NaN, false).listedRate());
    }
}
