package slipfield.knownred;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class KnownRedTest {
    @Test
    void anEntryThatNamesNoTestIsNotLeftStanding() throws ClassNotFoundException {
        for (String test : KnownRed.tests()) {
            String[] parts = test.split("#");
            assertTrue(Arrays.stream(Class.forName(parts[0]).getDeclaredMethods())
                    .anyMatch(method -> method.getName().equals(parts[1])), test);
        }
    }
}
