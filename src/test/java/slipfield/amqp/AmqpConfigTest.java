package slipfield.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import slipfield.amqp.decide.RoutingTable;
import slipfield.config.BadInput;

/** Reads the operator's AMQP file: the shipped one, and faulty ones with their error messages. */
class AmqpConfigTest {
    private static final AmqpConfig.KnownNames KNOWN_NAMES = new AmqpConfig.KnownNames(List.of("order-keyed", "once"),
            List.of("acme"), List.of("m"), List.of("a", "b"));
    private static final String VALID = """
            listen: 127.0.0.1:5672
            users:
              - {name: desk, publish: [orders]}
              - {name: broker, consume: [out]}
            exchanges:
              - name: orders
                routes:
                  - {key: a.*, class: once, destination_word: 2}
            queues:
              - {name: out, destination: 9, zone: b}
            """;

    @TempDir
    private Path folder;

    private AmqpConfig read(String text) throws Exception {
        Path file = folder.resolve("amqp.yaml");
        Files.writeString(file, text);
        return AmqpConfig.read(file, KNOWN_NAMES);
    }

    /** Asserts that the error is reported at the position of §, contains this text, and names a correction after "; ". */
    private void assertError(String text, String marked) {
        int mark = marked.indexOf('§');
        String before = marked.substring(0, mark);
        String at = (before.lines().count() + (before.isEmpty() || before.endsWith("\n") ? 1 : 0)) + ":"
                + (mark - before.lastIndexOf('\n'));
        BadInput bad = assertThrows(BadInput.class, () -> read(marked.replace("§", "")));
        String reported = bad.getMessage().replace(folder.resolve("amqp.yaml") + ":", "");
        assertTrue(reported.startsWith(at + ": ") && reported.contains(text) && reported.contains("; "),
                () -> "not at " + at + ": " + reported);
    }

    @Test
    void theShippedFileIsValid() throws Exception {
        AmqpConfig config = AmqpConfig.read(Path.of("deploy", "amqp.yaml"), KNOWN_NAMES);
        assertEquals(Optional.of(new RoutingTable.Target("order-keyed", 17)), config.routes().resolve("orders", "order.17"));
        assertEquals(new AmqpConfig.Queue("to-broker", 90, "m", "a"), config.queues().get("to-broker"));
        assertFalse(config.unconfirmed() || config.tls().isPresent());
        assertFalse(config.users().get("desk").secret().orElseThrow().matches(""), "the empty password");
        assertEquals(config.limits(), read(VALID).limits(), "the limits in the shipped file are the defaults");
    }

    @Test
    void errorsNameThePositionAndACorrection() {
        assertError("listen is missing", "§" + VALID.replace("listen: 127.0.0.1:5672\n", ""));
        assertError("write it as", VALID.replace("127.0.0.1:5672", "§localhost"));
        assertError("users knows no field 'secrets'; did you mean 'secret'?",
                VALID.replace("{name: desk,", "{§secrets: x, name: desk,"));
        assertError("not a hashed secret", VALID.replace("{name: desk,", "{name: desk, secret: §hunter2,"));
        assertError("no exchange of this file", VALID.replace("publish: [orders]", "publish: §[other]"));
        assertError("no queue of this file", VALID.replace("consume: [out]", "consume: §[other]"));
        assertError("is defined twice", VALID.replace("{name: broker,", "{name: §desk,"));
        assertError("one of", VALID.replace("class: once", "class: §twice"));
        assertError("one of the two", VALID.replace("destination_word: 2", "destination_word: 2, destination: §4"));
        assertError("from 1 to 100", VALID.replace("destination_word: 2", "destination_word: §0"));
        assertError("one of", VALID.replace("zone: b", "zone: §z"));
        assertError("whole number", VALID.replace("destination: 9", "destination: §west"));
        assertError("time with its unit", VALID + "limits: {heartbeat: §10}\n");
        assertError("did you mean 'prefetch'", VALID + "limits: {§prefetchs: 10}\n");
        assertError("can't be read", VALID + "outbound:\n  - {name: n, key: k, destination: 1, password_file: §nowhere}\n");
        assertError("is missing", VALID + "outbound:\n  - §{name: n, key: k, destination: 1}\n");
        assertError("no exchange of this file", VALID + "inbound:\n  - {name: n, exchange: §other, queue: q}\n");
        assertError("defines no user", "§listen: 127.0.0.1:5672\n");
    }

    @Test
    void aSecretMatchesOnlyItsPassword() {
        Secret secret = Secret.parse(Secret.of("right").toString()).orElseThrow();
        assertTrue(secret.matches("right"));
        assertFalse(secret.matches("wrong") || secret.matches(""));
        for (String malformed : List.of("", "right", "pbkdf2-sha256:1:AA==", "pbkdf2-sha256:0:AAAA:AAAA",
                "pbkdf2-sha256:9:AAAA:AAAA", "pbkdf2-sha256:99999999999:AAAA:AAAA", "pbkdf2-sha256:9:!:AAAA")) {
            assertTrue(Secret.parse(malformed).isEmpty(), malformed);
        }
    }
}
