package slipfield.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** {@code deploy/heap.sh} sizes the heap before the JVM starts, and the sender checks it after that. */
class MemoryLimitTest {
    private static final long MB = 1 << 20;

    @TempDir
    private Path folder;

    /** Guards against a heap that is the same whatever {@code limits.memory_mb} says. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{\"limits\":{\"cores\":1.0,\"memory_mb\":96,\"sockets\":1024}} | -Xms24m -Xmx36m",
        "{\"limits\": {\"memory_mb\" :  80.5}} | -Xms20m -Xmx20m",
        "{\"limits\": {\"memory_mb\": 192}} | -Xms24m -Xmx48m",
        "{\"limits\": {\"memory_mb\": 32}} | -Xms16m -Xmx16m",
        "{\"limits\": {\"memory_mb\": 99999999999}} | -Xms24m -Xmx48m",
        "{\"limits\": {\"memory_mb\": \"many\"}} | -Xms24m -Xmx48m",
        "{} | -Xms24m -Xmx48m"})
    void theHeapFitsTheMemoryLimitOfTheSettings(String json, String options) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, json);
        assertEquals(options, heapOptions(config));
    }

    @Test
    void aMissingConfigurationLeavesTheUsualHeap() throws Exception {
        assertEquals("-Xms24m -Xmx48m", heapOptions(folder.resolve("missing.json")));
    }

    private static String heapOptions(Path config) throws Exception {
        ProcessBuilder shell = new ProcessBuilder("/bin/sh", "-c", ". deploy/heap.sh; echo $HEAP").redirectErrorStream(true);
        shell.environment().put("GW_CONFIG", config.toString());
        Process process = shell.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).trim();
        assertEquals(0, process.waitFor(), output);
        return output;
    }

    @Test
    void theRestOfTheProcessCountsInTheLimit() {
        MemoryLimit limit = new MemoryLimit(96);
        assertTrue(limit.allowsHeap(36 * MB));
        assertFalse(limit.allowsHeap(37 * MB));
        assertEquals(36, limit.heapMb());
        assertEquals(MemoryLimit.MIN_HEAP_MB, new MemoryLimit(32).heapMb());
    }
}
