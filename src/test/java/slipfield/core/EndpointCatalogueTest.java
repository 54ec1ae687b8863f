package slipfield.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class EndpointCatalogueTest {
    private static Directory.Entry entry(String id, boolean gone) {
        return new Directory.Entry(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), "a", "m", 7, !gone,
                0, gone);
    }

    private static Set<String> ids(EndpointCatalogue.Change change) {
        return change.entries().stream().map(Directory.Entry::id).collect(Collectors.toSet());
    }

    @Test
    void theReportOfASingleDirectoryIsPassedOnUnchanged() {
        List<Directory.Entry> reported = List.of(entry("s-1", false));
        EndpointCatalogue.Change change = new EndpointCatalogue(List.of("platform")).update("platform", true, reported);
        assertTrue(change.complete());
        assertSame(reported, change.entries());
    }

    @Test
    void aCompleteListReplacesOnlyItsOwnDirectorysEndpoints() {
        EndpointCatalogue catalogue = new EndpointCatalogue(List.of("platform", "consul"));
        catalogue.update("platform", true, List.of(entry("s-1", false), entry("s-2", false)));
        assertEquals(Set.of("s-1", "s-2", "consul/s-1"),
                ids(catalogue.update("consul", true, List.of(entry("s-1", false)))));
        // One directory sends complete lists; the last list of the other one, which has failed, stays.
        assertEquals(Set.of("s-1", "s-2", "consul/s-9"),
                ids(catalogue.update("consul", true, List.of(entry("s-9", false)))));
    }

    @Test
    void aChangeIsReportedAloneAndRemembered() {
        EndpointCatalogue catalogue = new EndpointCatalogue(List.of("platform", "consul"));
        catalogue.update("platform", true, List.of(entry("s-1", false)));
        EndpointCatalogue.Change change = catalogue.update("consul", false, List.of(entry("c-1", false)));
        assertFalse(change.complete());
        assertEquals(Set.of("consul/c-1"), ids(change));
        EndpointCatalogue.Change gone = catalogue.update("platform", false, List.of(entry("s-1", true)));
        assertEquals(Set.of("s-1"), ids(gone));
        assertTrue(gone.entries().get(0).gone());
        assertEquals(Set.of("consul/c-1", "s-3"), ids(catalogue.update("platform", true, List.of(entry("s-3", false)))));
    }
}
