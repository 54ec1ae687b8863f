package slipfield.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import slipfield.config.BadInput;

/** Operators' files: what is read, and that each error points to its place and names the mend. */
class SectionTest {
    private static final Path FILE = Path.of("x.yaml");

    private static Section read(String text) throws BadInput {
        return SettingsFile.read(FILE, text);
    }

    private static void wrong(String start, Executable asked) {
        String message = assertThrows(BadInput.class, asked).getMessage();
        assertTrue(message.startsWith("x.yaml:" + start), message);
        assertTrue(message.contains(";"), "no mend in: " + message);
    }

    @Test
    void valuesAreReadWithTheirUnits() throws Exception {
        Section s = read("a: 250ms\nb: 1.5s\nc: 2m\nd: 600/m\ne: 25%\nf: [x, y]\ng: {h: true}\ni:\n  - {j: 7}\n");
        assertEquals(250, s.millis("a", 0, 0, 1000));
        assertEquals(1500, s.millis("b", 0, 0, 2000));
        assertEquals(120_000, s.millis("c", 0, 0, 200_000));
        assertEquals(10, s.perSecond("d", 0, 0, 100));
        assertEquals(0.25, s.share("e", 0));
        assertEquals(List.of("x", "y"), s.texts("f"));
        assertTrue(s.section("g").orElseThrow().flag("h", false));
        assertEquals(7, s.sections("i").get(0).integer("j", 0, 0, 10));
        assertEquals(5, s.integer("absent", 5, 0, 10));
        for (long ms : new long[] {0, 1, 999, 1000, 60_000, 90_000, 3_600_000}) {
            assertEquals(ms, read("t: " + Section.time(ms)).millis("t", -1, 0, Long.MAX_VALUE));
        }
    }

    @Test
    void eachErrorPointsToItsPlace() throws Exception {
        wrong("1:1:", () -> read(""));
        wrong("1:1:", () -> read("- a\n- b"));
        wrong("2:1:", () -> read("a: 1\na: 2"));
        wrong("2:", () -> read("a: [1\nb: 2"));
        wrong("2:3:", () -> read("a:\n  b: 1\n").section("a").orElseThrow().allowOnly("c"));
        wrong("1:4:", () -> read("a: 5").millis("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: 5s").millis("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: 1e99s").millis("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: 5").perSecond("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: 11/s").perSecond("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: NaN").share("a", 0));
        wrong("1:4:", () -> read("a: 120%").share("a", 0));
        wrong("1:4:", () -> read("a: NaN").number("a", 0, 0, 1));
        wrong("1:4:", () -> read("a: 99999999999999999999").integer("a", 0, 0, 10));
        wrong("1:4:", () -> read("a: [1]").text("a", ""));
        wrong("1:4:", () -> read("a: yes").flag("a", false));
        wrong("1:4:", () -> read("a: b").texts("a"));
        wrong("1:4:", () -> read("a: b").section("a"));
        wrong("1:5:", () -> read("a: [localhost:1]").addresses("a"));
        wrong("1:4:", () -> read("a: z").oneOf("a", "x", Set.of("x", "y")));
        wrong("1:1:", () -> read("a: z").text("b"));
    }

    /** Whatever stands in a file, it is read or refused; nothing else is thrown, and nothing loops. */
    @Test
    void noTextBreaksTheReader() throws Exception {
        String base = "precedence: [a, b]\nrules:\n  steady: &x 1s\n  more: *x\nlist:\n  - {k: \"v\"}\n  - |\n    text\n";
        Random random = new Random(7);
        String letters = "{}[]:,&*!|>'\"%@`#-? \n\t\\a1\u0000\ufeff";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(base);
            for (int n = random.nextInt(6); n >= 0; n--) {
                int at = random.nextInt(text.length());
                char c = letters.charAt(random.nextInt(letters.length()));
                switch (random.nextInt(3)) {
                    case 0 -> text.insert(at, c);
                    case 1 -> text.setCharAt(at, c);
                    default -> text.delete(at, Math.min(text.length(), at + 1 + random.nextInt(4)));
                }
            }
            try {
                Section s = read(text.toString());
                s.allowOnly("precedence", "rules", "list");
                s.texts("precedence");
                s.section("rules");
                s.sections("list");
            } catch (BadInput refused) {
                assertTrue(refused.getMessage().startsWith("x.yaml:"), refused.getMessage());
            }
        }
    }
}
