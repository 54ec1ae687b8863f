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

/** The operator's file: the one that is delivered, and what is told of broken ones. */
class AmqpConfigTest {
    private static final AmqpConfig.KnownNames KNOWN = new AmqpConfig.KnownNames(List.of("order-keyed", "once"), List.of("acme"),
            List.of("m"), List.of("a", "b"));
    private static final String GOOD = """
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
        return AmqpConfig.read(file, KNOWN);
    }

    /** The error is where the mark § is, says so much, and names a mend. */
    private void wrong(String says, String marked) {
        int mark = marked.indexOf('§');
        String before = marked.substring(0, mark);
        String at = (before.lines().count() + (before.isEmpty() || before.endsWith("\n") ? 1 : 0)) + ":"
                + (mark - before.lastIndexOf('\n'));
        BadInput bad = assertThrows(BadInput.class, () -> read(marked.replace("§", "")));
        String told = bad.getMessage().replace(folder.resolve("amqp.yaml") + ":", "");
        assertTrue(told.startsWith(at + ": ") && told.contains(says) && told.contains("; "), () -> "not at " + at + ": " + told);
    }

    @Test
    void theDeliveredFileIsGood() throws Exception {
        AmqpConfig config = AmqpConfig.read(Path.of("deploy", "amqp.yaml"), KNOWN);
        assertEquals(Optional.of(new RoutingTable.Target("order-keyed", 17)), config.routes().resolve("orders", "order.17"));
        assertEquals(new AmqpConfig.Queue("to-broker", 90, "m", "a"), config.queues().get("to-broker"));
        assertFalse(config.unconfirmed() || config.tls().isPresent());
        assertFalse(config.users().get("desk").secret().orElseThrow().matches(""), "nobody knows its password");
        assertEquals(config.limits(), read(GOOD).limits(), "what it writes out are the defaults");
    }

    @Test
    void errorsNameThePlaceAndTheMend() {
        wrong("listen is missing", "§" + GOOD.replace("listen: 127.0.0.1:5672\n", ""));
        wrong("write it as", GOOD.replace("127.0.0.1:5672", "§localhost"));
        wrong("users knows no field 'secrets'; did you mean 'secret'?", GOOD.replace("{name: desk,", "{§secrets: x, name: desk,"));
        wrong("no hashed secret", GOOD.replace("{name: desk,", "{name: desk, secret: §hunter2,"));
        wrong("no exchange of this file", GOOD.replace("publish: [orders]", "publish: §[other]"));
        wrong("no queue of this file", GOOD.replace("consume: [out]", "consume: §[other]"));
        wrong("is there twice", GOOD.replace("{name: broker,", "{name: §desk,"));
        wrong("one of", GOOD.replace("class: once", "class: §twice"));
        wrong("one of the two", GOOD.replace("destination_word: 2", "destination_word: 2, destination: §4"));
        wrong("from 1 to 100", GOOD.replace("destination_word: 2", "destination_word: §0"));
        wrong("one of", GOOD.replace("zone: b", "zone: §z"));
        wrong("whole number", GOOD.replace("destination: 9", "destination: §west"));
        wrong("time with its unit", GOOD + "limits: {heartbeat: §10}\n");
        wrong("did you mean 'prefetch'", GOOD + "limits: {§prefetchs: 10}\n");
        wrong("can't be read", GOOD + "outbound:\n  - {name: n, key: k, destination: 1, password_file: §nowhere}\n");
        wrong("is missing", GOOD + "outbound:\n  - §{name: n, key: k, destination: 1}\n");
        wrong("no exchange of this file", GOOD + "inbound:\n  - {name: n, exchange: §other, queue: q}\n");
        wrong("names nobody", "§listen: 127.0.0.1:5672\n");
    }

    @Test
    void aSecretIsItsPasswordsAlone() {
        Secret secret = Secret.parse(Secret.of("right").toString()).orElseThrow();
        assertTrue(secret.matches("right"));
        assertFalse(secret.matches("wrong") || secret.matches(""));
        for (String none : List.of("", "right", "pbkdf2-sha256:1:AA==", "pbkdf2-sha256:0:AAAA:AAAA", "pbkdf2-sha256:9:AAAA:AAAA",
                "pbkdf2-sha256:99999999999:AAAA:AAAA", "pbkdf2-sha256:9:!:AAAA")) {
            assertTrue(Secret.parse(none).isEmpty(), none);
        }
    }
}
