package slipfield.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import slipfield.policy.DeliveryPolicy;

/**
 * The settings of one sender by their dotted names, and what the module is told of them. Shared by the
 * adapter and the real sender, lest the two read one setting in two ways; unknown ones are never asked for.
 */
public record Params(Map<String, String> values) {
    /** The name of the figure in reports that is the rate of a destination's limit. */
    public static final String REPORTED_RATE = "x1";

    /** The name of the figure that is the share of it that is left. */
    public static final String REPORTED_REMAINING = "x0";

    private static final int MOST_SENDERS = 10_000;

    /** The module's settings. */
    public DeliveryPolicy.Settings settings() throws BadInput {
        List<DeliveryPolicy.MessageClass> classes = new ArrayList<>();
        for (int i = 0; i < number("classes.count"); i++) {
            String c = "classes." + i + ".";
            DeliveryPolicy.RepeatSafety effect = switch (text(c + "repeat")) {
                case "safe" -> DeliveryPolicy.RepeatSafety.SAFE;
                case "keyed" -> DeliveryPolicy.RepeatSafety.KEYED;
                case "unsafe" -> DeliveryPolicy.RepeatSafety.UNSAFE;
                default -> throw new BadInput("unknown value of " + c + "repeat");
            };
            classes.add(new DeliveryPolicy.MessageClass(number(c + "aim_ms"), number(c + "give_up_ms"),
                    numberOr(c + "worth", 1), numberOr(c + "late_worth", 0), effect,
                    !textOr(c + "dedup_scope", "all").equals("all"), numberOr(c + "window_ms", 0),
                    flag(c + "sequential")));
        }
        List<DeliveryPolicy.Kind> kinds = new ArrayList<>();
        List<String> routes = list("family_info.separate_routes");
        List<String> batches = list("family_info.batch_by_kind");
        for (int i = 0; i < Math.max(routes.size(), batches.size()); i++) {
            kinds.add(new DeliveryPolicy.Kind(i < routes.size() && routes.get(i).equals("true"),
                    i < batches.size() ? (int) parse(batches.get(i)) : 1));
        }
        List<Double> fees = new ArrayList<>();
        for (String fee : list("family_info.carriage")) {
            fees.add(parse(fee));
        }
        DeliveryPolicy.Decay decay = textOr("family_info.decay", "line").equals("halves")
                ? DeliveryPolicy.Decay.HALVING : DeliveryPolicy.Decay.LINEAR;
        DeliveryPolicy.ColdStart cold = new DeliveryPolicy.ColdStart(number("rules.start_capacity"),
                number("rules.warm_after_ms"), number("rules.fall_multiple"), number("rules.fall_ms"));
        boolean ratesListed = !textOr("weight_kind", "none").equals("none");
        atLeastOne("family_info.workers", "calls that may be out at once");
        atLeastOne("limits.most_tries", "attempts at a message");
        if (classes.isEmpty()) {
            throw new BadInput("setting classes names none: name each class of message that clients hand in");
        }
        if (kinds.isEmpty()) {
            throw new BadInput("settings family_info.separate_routes and family_info.batch_by_kind name no kind: "
                    + "give one value for each of flavors");
        }
        return new DeliveryPolicy.Settings(classes, kinds, ratesListed, decay, fees,
                fleetSize().orElse(1), (int) number("family_info.workers"),
                (int) number("limits.most_tries"), flag("limits.second_copies"), flag("limits.cancel"),
                numberOr("rules.order_pause_ms", 0), numberOr("limits.keepalive_ms", 0), cold);
    }

    private void atLeastOne(String name, String meaning) throws BadInput {
        if (!(number(name) >= 1)) {
            throw new BadInput("setting " + name + " is " + text(name) + ": give 1 or more, " + meaning);
        }
    }

    /**
     * How many senders there are. None where it is missing, no number, or what no fleet has: a sender that believed it would
     * share each limit with nobody, or with so many that it sends nothing. It counts itself alone then.
     */
    public OptionalInt fleetSize() {
        try {
            double size = number("fleet_size");
            return size >= 1 && size <= MOST_SENDERS ? OptionalInt.of((int) size) : OptionalInt.empty();
        } catch (BadInput e) {
            return OptionalInt.empty();
        }
    }

    /** Which of the figures that an answer's report holds is the one of this name; -1 where none is. */
    public int reportField(String name) {
        return list("reporting.fields").indexOf(name);
    }

    /** The value of a setting that must be there. */
    public String text(String name) throws BadInput {
        String value = values.get(name);
        if (value == null) {
            throw new BadInput("setting " + name + " is missing");
        }
        return value;
    }

    /** The value of a setting, or what stands for its absence. */
    public String textOr(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    /** The number in a setting that must be there. */
    public double number(String name) throws BadInput {
        String value = text(name);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new BadInput("setting " + name + " is '" + value + "': give a number");
        }
    }

    /** The number in a setting, or what stands for its absence. */
    public double numberOr(String name, double absent) throws BadInput {
        return values.containsKey(name) ? number(name) : absent;
    }

    /** Whether a switch is on; an absent one is off. */
    public boolean flag(String name) {
        return textOr(name, "false").equals("true");
    }

    /** The parts of a list of plain values; none where it is absent. */
    public List<String> list(String name) {
        String value = textOr(name, "");
        return value.isEmpty() || value.equals("-") ? List.of() : List.of(value.split(","));
    }

    /** A number in the wire's form. */
    public static double parse(String value) throws BadInput {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new BadInput("not a number among the settings: " + value);
        }
    }
}
