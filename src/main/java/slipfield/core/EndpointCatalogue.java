package slipfield.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The lists of several directories as one. A whole list of one replaces what that one said, and nothing of what
 * the others did; so one that dies leaves its last list standing. Ids of the first directory stand as they are,
 * those of another are behind its name and a slash: equal ids of two are two endpoints. Pure.
 */
final class EndpointCatalogue {
    /** What the module is told. */
    record Change(boolean whole, List<Directory.Entry> entries) {
    }

    private final Map<String, Map<String, Directory.Entry>> lists = new LinkedHashMap<>();
    private final String first;

    /** Of these directories, by name; the first one's ids stand as they are. */
    EndpointCatalogue(List<String> names) {
        first = names.get(0);
        names.forEach(name -> lists.put(name, new HashMap<>()));
    }

    /** What this directory's word changes in the list of all. */
    Change listed(String directory, boolean whole, List<Directory.Entry> entries) {
        if (lists.size() == 1) {
            return new Change(whole, entries);
        }
        Map<String, Directory.Entry> mine = lists.get(directory);
        if (whole) {
            mine.clear();
        }
        List<Directory.Entry> named = new ArrayList<>();
        for (Directory.Entry told : entries) {
            Directory.Entry entry = directory.equals(first) ? told : new Directory.Entry(directory + "/" + told.id(),
                    told.address(), told.zone(), told.kind(), told.destination(), told.serving(), told.weight(),
                    told.gone());
            named.add(entry);
            if (entry.gone()) {
                mine.remove(entry.id());
            } else {
                mine.put(entry.id(), entry);
            }
        }
        if (!whole) {
            return new Change(false, named);
        }
        List<Directory.Entry> all = new ArrayList<>();
        lists.values().forEach(list -> all.addAll(list.values()));
        return new Change(true, all);
    }
}
