package slipfield.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges the endpoint lists of several directories into one. A complete list of a directory replaces that directory's earlier
 * endpoints and no others, so that a directory that fails keeps its last endpoints. Ids of the first directory are used
 * unchanged. Those of another get its name and a slash as a prefix, since equal ids of two directories are two endpoints. Pure
 * logic without I/O.
 */
final class EndpointCatalogue {
    /** A change to report to the policy; {@code complete}: the entries are the whole merged list. */
    record Change(boolean complete, List<Directory.Entry> entries) {
    }

    private final Map<String, Map<String, Directory.Entry>> entriesByDirectory = new LinkedHashMap<>();
    private final String first;

    /** Merges the lists of these directories; ids of the first one are used unchanged. */
    EndpointCatalogue(List<String> names) {
        first = names.get(0);
        names.forEach(name -> entriesByDirectory.put(name, new HashMap<>()));
    }

    /** Applies the report of a directory and returns how it changes the merged list. */
    Change update(String directory, boolean complete, List<Directory.Entry> entries) {
        if (entriesByDirectory.size() == 1) {
            return new Change(complete, entries);
        }
        Map<String, Directory.Entry> known = entriesByDirectory.get(directory);
        if (complete) {
            known.clear();
        }
        List<Directory.Entry> changed = new ArrayList<>();
        for (Directory.Entry reported : entries) {
            Directory.Entry entry = directory.equals(first) ? reported : new Directory.Entry(directory + "/" + reported.id(),
                    reported.address(), reported.zone(), reported.kind(), reported.destination(), reported.serving(),
                    reported.weight(), reported.gone());
            changed.add(entry);
            if (entry.gone()) {
                known.remove(entry.id());
            } else {
                known.put(entry.id(), entry);
            }
        }
        if (!complete) {
            return new Change(false, changed);
        }
        List<Directory.Entry> all = new ArrayList<>();
        entriesByDirectory.values().forEach(list -> all.addAll(list.values()));
        return new Change(true, all);
    }
}
