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
    void oneDirectorysWordStandsAsItIs() {
        List<Directory.Entry> told = List.of(entry("s-1", false));
        EndpointCatalogue.Change change = new EndpointCatalogue(List.of("platform")).listed("platform", true, told);
        assertTrue(change.whole());
        assertSame(told, change.entries());
    }

    @Test
    void aWholeListOfOneLeavesTheOthersStanding() {
        EndpointCatalogue all = new EndpointCatalogue(List.of("platform", "consul"));
        all.listed("platform", true, List.of(entry("s-1", false), entry("s-2", false)));
        assertEquals(Set.of("s-1", "s-2", "consul/s-1"),
                ids(all.listed("consul", true, List.of(entry("s-1", false)))));
        // The one that lives on says whole lists; the dead one's last word stands.
        assertEquals(Set.of("s-1", "s-2", "consul/s-9"),
                ids(all.listed("consul", true, List.of(entry("s-9", false)))));
    }

    @Test
    void aChangeIsToldAloneAndRemembered() {
        EndpointCatalogue all = new EndpointCatalogue(List.of("platform", "consul"));
        all.listed("platform", true, List.of(entry("s-1", false)));
        EndpointCatalogue.Change change = all.listed("consul", false, List.of(entry("c-1", false)));
        assertFalse(change.whole());
        assertEquals(Set.of("consul/c-1"), ids(change));
        EndpointCatalogue.Change gone = all.listed("platform", false, List.of(entry("s-1", true)));
        assertEquals(Set.of("s-1"), ids(gone));
        assertTrue(gone.entries().get(0).gone());
        assertEquals(Set.of("consul/c-1", "s-3"), ids(all.listed("platform", true, List.of(entry("s-3", false)))));
    }
}
