package slipfield.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointNumbersTest {
    private static final long LATER = TimeUnit.MILLISECONDS.toNanos(EndpointNumbers.FORGET_MS) + 1;

    private final EndpointNumbers endpoints = new EndpointNumbers();

    @Test
    void anIdKeepsItsNumberWhileItsDestinationStays() {
        assertEquals(Optional.empty(), endpoints.list("a", 7, 0));
        long number = endpoints.number("a", 0);
        assertEquals(Optional.empty(), endpoints.list("a", 7, 0));
        assertEquals(number, endpoints.number("a", 0));
    }

    @Test
    void anIdWithAnotherDestinationIsAnotherEndpoint() {
        endpoints.list("a", 7, 0);
        long old = endpoints.number("a", 0);
        assertEquals(Optional.of(new EndpointNumbers.Known(old, "a", 7)), endpoints.list("a", 8, 0));
        endpoints.present("a");
        assertNotEquals(old, endpoints.number("a", 0));
        assertEquals("a", endpoints.id(old), "calls to it may still end");
        assertEquals(List.of(new EndpointNumbers.Forgotten(old, "a", true)), endpoints.forgetOld(LATER));
        assertEquals(Set.of("a"), endpoints.ids());
    }

    @Test
    void whatIsNotListedIsForgottenAndItsNumberNotUsedAgain() {
        long known = endpoints.number("from the journal", 0);
        endpoints.list("b", 7, 0);
        endpoints.present("b");
        assertEquals(List.of(), endpoints.forgetOld(LATER - 1));
        assertEquals(List.of(new EndpointNumbers.Forgotten(known, "from the journal", false)), endpoints.forgetOld(LATER));
        assertNull(endpoints.id(known));
        assertNotEquals(known, endpoints.number("from the journal", LATER));
        endpoints.removed("b", LATER);
        assertEquals(1, endpoints.forgetOld(3 * LATER).stream().filter(gone -> gone.id().equals("b")).count());
    }

    /** Guards against lists whose names are always new: what had left them filled the heap within its minute. */
    @Test
    void ofTooManyThatLeftTheListTheOldestAreForgottenAtOnce() {
        for (int i = 0; i < EndpointNumbers.MAX_REMOVED + 3; i++) {
            endpoints.number("id-" + i, i);
        }
        assertEquals(List.of("id-0", "id-1", "id-2"),
                endpoints.forgetOld(EndpointNumbers.MAX_REMOVED).stream().map(EndpointNumbers.Forgotten::id).toList());
        assertEquals(EndpointNumbers.MAX_REMOVED, endpoints.ids().size());
    }
}
