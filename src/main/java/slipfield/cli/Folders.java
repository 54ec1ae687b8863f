package slipfield.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Folders that a command made for itself. */
final class Folders {
    private Folders() {
    }

    /** Whether nothing is in it. */
    static boolean isEmpty(Path folder) throws IOException {
        try (Stream<Path> inside = Files.list(folder)) {
            return inside.findAny().isEmpty();
        }
    }

    /** Deletes it with all that is in it. */
    static void delete(Path folder) throws IOException {
        List<Path> all;
        try (Stream<Path> walk = Files.walk(folder)) {
            all = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.delete(path);
        }
    }
}
