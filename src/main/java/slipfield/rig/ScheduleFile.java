package slipfield.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import slipfield.config.BadInput;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Fault.Kind;
import slipfield.rig.plan.Schedule;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;

/** A schedule as a file in YAML, in the form that {@link Schedule#toYaml} writes. */
public final class ScheduleFile {
    private static final int USUAL_SENDERS = 3;
    private static final int USUAL_VENUES = 4;
    private static final long USUAL_MS = 20_000;
    private static final long LEAST_MS = 1000;
    private static final double MOST_SIZE = 1e9;
    private static final Map<String, Kind> WORDS = words();

    private ScheduleFile() {
    }

    private static Map<String, Kind> words() {
        Map<String, Kind> words = new LinkedHashMap<>();
        for (Kind kind : Kind.values()) {
            words.put(kind.word(), kind);
        }
        return words;
    }

    /** Reads a file; what is wrong names its line, column and mend. */
    public static Schedule read(Path file) throws IOException, BadInput {
        return read(SettingsFile.read(file));
    }

    static Schedule read(Section root) throws BadInput {
        root.allowOnly("senders", "venues", "length", "faults");
        int senders = (int) root.integer("senders", USUAL_SENDERS, 1, Schedule.MOST_SENDERS);
        int venues = (int) root.integer("venues", USUAL_VENUES, 1, Schedule.MOST_VENUES);
        long lengthMs = root.millis("length", USUAL_MS, LEAST_MS, Schedule.MOST_MS);
        List<Fault> faults = new ArrayList<>();
        for (Section each : root.sections("faults")) {
            each.allowOnly("kind", "at", "for", "senders", "others", "size");
            Kind kind = WORDS.get(each.oneOf("kind", "", WORDS.keySet()));
            long at = each.millis("at", 0, 0, lengthMs);
            long length = each.millis("for", 0, 0, lengthMs - at);
            List<Integer> struck = numbers(each, "senders", senders);
            List<Integer> others = numbers(each, "others", kind.betweenSenders() ? senders : venues);
            faults.add(new Fault(kind, at, length, struck, others, each.number("size", 0, 0, MOST_SIZE)));
        }
        if (faults.size() > Schedule.MOST_FAULTS) {
            throw root.error("faults", "has " + faults.size() + " of them; leave " + Schedule.MOST_FAULTS + " at most");
        }
        return new Schedule(senders, venues, lengthMs, faults);
    }

    private static List<Integer> numbers(Section of, String key, int many) throws BadInput {
        List<Integer> numbers = new ArrayList<>();
        for (String text : of.texts(key)) {
            int number = text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : many;
            if (number >= many) {
                throw of.error(key, "'" + text + "' is none of them; write numbers from 0 to " + (many - 1));
            }
            numbers.add(number);
        }
        return numbers;
    }
}
