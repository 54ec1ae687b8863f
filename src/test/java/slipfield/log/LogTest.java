package slipfield.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** What an event looks like, and how often one is told. */
class LogTest {
    private static final Instant AT = Instant.ofEpochMilli(1_000_000_000_123L);

    @Test
    void textIsOneLineWhateverAPeerSent() {
        assertEquals("2001-09-09T01:46:40.123Z warn a.b id=x-1 cause=\"two words\\n\\\"q\\\"\" none=\"\"",
                Layout.TEXT.line(AT, "warn", "a.b", "id", "x-1", "cause", "two words\n\"q\"", "none", ""));
        assertFalse(Layout.TEXT.line(AT, "warn", "a", "x", "y\r\nforged=1").contains("\n"));
        assertEquals(1100, Layout.TEXT.line(AT, "warn", "a", "x", "y".repeat(5000)).length(), 100);
    }

    @Test
    void jsonIsOneObjectALine() throws Exception {
        String line = Layout.JSON.line(AT, "info", "a.b", "n", 5L, "yes", true, "text", "\u0001\"\n", "nothing", null);
        JsonNode json = JsonMapper.builder().build().readTree(line);
        assertFalse(line.contains("\n"));
        assertEquals("2001-09-09T01:46:40.123Z", json.path("at").asText());
        assertEquals(5, json.path("n").asInt());
        assertEquals("\u0001\"\n", json.path("text").asText());
        assertEquals("null", json.path("nothing").asText());
    }

    @Test
    void anEventThatComesWithoutEndIsToldOnceASecond() {
        EventRateLimit limit = new EventRateLimit();
        int told = 0;
        long passedOver = 0;
        for (long now = 0; now < 60_000; now++) {
            long before = limit.acquire(now);
            if (before >= 0) {
                told++;
                passedOver += before;
            }
        }
        assertEquals(10 + 59, told);
        assertEquals(60_000 - told, passedOver, 1000);
        // A clock that goes back neither fills nor blocks it for good.
        assertEquals(-1, limit.acquire(0));
        assertEquals(true, limit.acquire(61_000) >= 0);
    }
}
