package slipfield.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** The format of log lines, and the rate limit of events. */
class LogTest {
    private static final Instant AT = Instant.ofEpochMilli(1_000_000_000_123L);

    @Test
    void textIsOneLineWhateverItsValuesContain() {
        assertEquals("2001-09-09T01:46:40.123Z warn a.b id=x-1 cause=\"two words\\n\\\"q\\\"\" none=\"\"",
                Layout.TEXT.line(AT, "warn", "a.b", "id", "x-1", "cause", "two words\n\"q\"", "none", ""));
        assertFalse(Layout.TEXT.line(AT, "warn", "a", "x", "y\r\nforged=1").contains("\n"));
        assertEquals(1100, Layout.TEXT.line(AT, "warn", "a", "x", "y".repeat(5000)).length(), 100);
    }

    @Test
    void jsonIsOneObjectPerLine() throws Exception {
        String line = Layout.JSON.line(AT, "info", "a.b", "n", 5L, "yes", true, "text", "\u0001\"\n", "nothing", null);
        JsonNode json = JsonMapper.builder().build().readTree(line);
        assertFalse(line.contains("\n"));
        assertEquals("2001-09-09T01:46:40.123Z", json.path("at").asText());
        assertEquals(5, json.path("n").asInt());
        assertEquals("\u0001\"\n", json.path("text").asText());
        assertEquals("null", json.path("nothing").asText());
    }

    @Test
    void aRepeatedEventIsLoggedOncePerSecond() {
        EventRateLimit limit = new EventRateLimit();
        int logged = 0;
        long suppressed = 0;
        for (long now = 0; now < 60_000; now++) {
            long before = limit.acquire(now);
            if (before >= 0) {
                logged++;
                suppressed += before;
            }
        }
        assertEquals(10 + 59, logged);
        assertEquals(60_000 - logged, suppressed, 1000);
        // A clock that goes backwards neither refills the bucket nor blocks it for good.
        assertEquals(-1, limit.acquire(0));
        assertEquals(true, limit.acquire(61_000) >= 0);
    }
}
