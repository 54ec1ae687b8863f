package slipfield.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Parsing and writing of the simulator's line protocol. */
class SimulatorAdapterTest {
    private static final String SETTINGS = "classes.count=1"
            + " classes.0.aim_ms=2000.0 classes.0.give_up_ms=16000.0 "
            + "classes.0.repeat=safe fleet_size=2 family_info.workers=10 family_info.batch_by_kind=1,5 "
            + "family_info.separate_routes=false,false limits.max_open=100 limits.most_tries=12 "
            + "limits.cancel=true "
            + "limits.second_copies=true limits.dial_timeout_ms=1000.0 limits.keepalive_ms=15000.0 "
            + "rules.start_capacity=0.2 rules.warm_after_ms=12000.0 rules.fall_multiple=2.0 "
            + "rules.fall_ms=1500.0 "
            + "some.new.key=7";
    private static final String LIST = "ROSTER 0 1\nROW 51 0 0 7 SERVING 1.5 -\n";

    private String errors;
    private int code;

    private String run(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ByteArrayInputStream in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        code = new SimulatorAdapter(in, new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8)).run();
        errors = err.toString(StandardCharsets.UTF_8);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(int number, double clock, String... lines) {
        String body = lines.length == 0 ? "" : String.join("\n", lines) + "\n";
        return "BATCH " + clock + " " + number + "\n" + body + "FLUSH\n";
    }

    private static String start(String instance) {
        return "SPAWN " + instance + " 5 " + SETTINGS + "\n" + LIST + "UPDATE " + instance
                + " remembered 4 0";
    }

    @Test
    void aMessageIsSubmittedAndDelivered() {
        String out = run(batch(1, 8412.25) + batch(2, 8413.25, start("sender/0"))
                + batch(3, 8414.5, "SUBMIT sender/0 9 0 - - 16000.0 - 7 0")
                + batch(4, 8500.5, "ATTEMPT_END sender/0 9 0 51 success 86.0 1 - -"));
        assertEquals("YIELD 1\nYIELD 2\nSUBMIT_TO sender/0 9 2500.0 51\nNOTIFY_ME sender/0 9414.5 0\n"
                + "YIELD 3\nYIELD 4\n", out);
        assertEquals(0, code);
        assertEquals("", errors);
    }

    @Test
    void instancesAreIndependent() {
        String out = run(batch(1, 1.0, start("sender/0"), start("sender/1"))
                + batch(2, 2.0, "SUBMIT sender/1 9 0 - - 16000.0 - 7 0",
                        "SUBMIT sender/0 9 0 - - 16000.0 - 7 0"));
        assertEquals("YIELD 1\nSUBMIT_TO sender/1 9 2500.0 51\nNOTIFY_ME sender/1 1002.0 0\n"
                + "SUBMIT_TO sender/0 9 2500.0 51\nNOTIFY_ME sender/0 1002.0 0\nYIELD 2\n", out);
    }

    @Test
    void aListNumberMayBeUsedAgainWithinABatch() {
        String out = run(batch(1, 1.0, "SPAWN sender/0 5 " + SETTINGS, "SPAWN sender/1 5 " + SETTINGS,
                LIST + "UPDATE sender/0 remembered 4 0", "ROSTER 0 1\nROW 52 0 0 7 SERVING 1 -",
                "UPDATE sender/1 all 5 0", "SUBMIT sender/0 9 0 - - 16000.0 - 7 0",
                        "SUBMIT sender/1 9 0 - - 16000.0 - 7 0"));
        assertTrue(out.contains("SUBMIT_TO sender/0 9 2500.0 51"), out);
        assertTrue(out.contains("SUBMIT_TO sender/1 9 2500.0 52"), out);
    }

    @Test
    void aRefusedListKeepsThePreviousOne() {
        String out = run(batch(1, 1.0, start("sender/0"))
                + batch(2, 2.0, "UPDATE sender/0 refused 4 -", "SUBMIT sender/0 9 0 - - 16000.0 - 7 0"));
        assertTrue(out.contains("SUBMIT_TO sender/0 9 2500.0 51"), out);
    }

    @Test
    void aRestartedInstanceStartsWithoutState() {
        String out = run(batch(1, 1.0, start("sender/0"), "SUBMIT sender/0 9 0 - - 16000.0 - 7 0")
                + batch(2, 2.0, "KILLED sender/0", start("sender/0"),
                        "SUBMIT sender/0 9 0 - - 16000.0 - 7 0"));
        assertEquals(2, out.split("SUBMIT_TO sender/0 9 ", -1).length - 1);
    }

    @Test
    void unknownTrailingFieldsAreIgnored() {
        String out = run(batch(1, 1.0, start("sender/0"))
                + batch(2, 2.0, "SUBMIT sender/0 9 0 - - 16000.0 - 7 0 more fields"));
        assertTrue(out.contains("SUBMIT_TO"), out);
        assertEquals(0, code);
    }

    @Test
    void anExceptionOfThePolicyIsReportedAsBug() {
        String out = run(batch(1, 1.0, start("sender/0"))
                + batch(2, 2.0, "ATTEMPT_END sender/0 9 0 51 success 86.0 1 - -"));
        String fault = "BUG sender/0 java.lang.IllegalArgumentException: unknown attempt 0 of message 9\n";
        assertTrue(out.contains(fault), out);
        assertTrue(out.endsWith("YIELD 2\n"), out);
    }

    @Test
    void invalidInputEndsTheRunWithItsLineNumber() {
        assertRejected("BATCH 1.0 1\nWHATEVER sender/0 1\nFLUSH\n", "line 2: unknown event WHATEVER");
        assertRejected("BATCH 1.0 1\nSUBMIT sender/0 x\nFLUSH\n", "line 2: field req is not a whole number: x");
        assertRejected("BATCH 1.0 1\nSUBMIT sender/0 4\nFLUSH\n", "line 2: field kind is missing");
        assertRejected("BATCH 1.0 1\n", "line 2: input ends inside batch 1");
        assertRejected("BATCH 1.0 1\nROSTER 0 2\nROW 51 0 0 7 SERVING 1 -\n", "line 4: input ends inside list 0");
        assertRejected("BATCH one 1\n", "line 1: field clock is not a number: one");
        assertRejected("HELLO\n", "line 1: expected BATCH, found HELLO");
        assertRejected("BATCH 1.0 1\nSPAWN sender/0 5 classes.count=1\nFLUSH\n",
                "line 2: setting classes.0.repeat is missing");
        assertRejected("BATCH 1.0 1\nUPDATE sender/0 all 4 3\nFLUSH\n",
                "line 2: UPDATE names a list that was not given");
    }

    private void assertRejected(String input, String message) {
        String out = run(input);
        assertEquals(1, code);
        assertEquals(message + System.lineSeparator(), errors);
        assertFalse(out.contains("YIELD"), out);
    }
}
