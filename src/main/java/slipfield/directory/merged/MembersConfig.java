package slipfield.directory.merged;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.directory.consul.ConsulSettings;
import slipfield.membership.Instance;
import slipfield.membership.MembershipRules;
import slipfield.membership.Status;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;

/**
 * The operator's file that sets the sources of endpoints and the rules for merging them.
 *
 * @param precedence the used sources, of {@code platform}, {@code consul} and {@code file}; the first one that lists an
 *     endpoint sets its attributes
 * @param file the endpoints listed in the file itself
 */
public record MembersConfig(List<String> precedence, MembershipRules rules, Optional<ConsulSettings> consul,
        List<Instance> file) {
    static final String PLATFORM = "platform";
    static final String CONSUL = "consul";
    static final String FILE = "file";
    private static final long MAX_MS = 24 * 3_600_000;

    /** Reads the file; an error gives file, line, column and how to fix it. */
    public static MembersConfig read(Path path) throws IOException, BadInput {
        String text = Files.readString(path);
        try {
            return read(SettingsFile.read(path, text));
        } catch (BadInput e) {
            String start = text.stripLeading();
            if (start.startsWith("{") || start.startsWith("//")) {
                throw new BadInput(e.getMessage() + " (this looks like the JSON form of before; convert it by "
                        + "`bin/slipfield convert " + path + "`)");
            }
            throw e;
        }
    }

    private static MembersConfig read(Section file) throws BadInput {
        file.allowOnly("precedence", "rules", "consul", "endpoints");
        List<String> precedence = file.texts("precedence");
        Set<String> sources = Set.of(PLATFORM, CONSUL, FILE);
        if (precedence.isEmpty() || !sources.containsAll(precedence)
                || new HashSet<>(precedence).size() < precedence.size()) {
            throw file.error("precedence", "is to name sources once each, of platform, consul and file; write "
                    + "`precedence: [platform, consul]`");
        }
        if (precedence.contains(CONSUL) != file.has(CONSUL)) {
            throw file.error(CONSUL, "is to be in precedence and have its part, or neither; add the one that is missing");
        }
        Optional<Section> part = file.section(CONSUL);
        Optional<ConsulSettings> consul = part.isPresent() ? Optional.of(ConsulSettings.read(part.get()))
                : Optional.empty();
        Optional<Section> rules = file.section("rules");
        return new MembersConfig(precedence, rules.isPresent() ? rules(rules.get()) : MembershipRules.DEFAULT, consul,
                endpoints(file.sections("endpoints")));
    }

    private static MembershipRules rules(Section rules) throws BadInput {
        MembershipRules d = MembershipRules.DEFAULT;
        rules.allowOnly("steady", "most_steady", "forgive", "most_shrink", "window", "accept");
        long steady = rules.millis("steady", d.steadyMs(), 0, MAX_MS);
        return new MembershipRules(steady, rules.millis("most_steady", Math.max(steady, d.mostSteadyMs()), steady, MAX_MS),
                rules.millis("forgive", d.forgiveMs(), 1, MAX_MS), rules.share("most_shrink", d.mostShrink()),
                rules.millis("window", d.windowMs(), 0, MAX_MS), rules.millis("accept", d.acceptMs(), 0, MAX_MS));
    }

    private static List<Instance> endpoints(List<Section> list) throws BadInput {
        List<Instance> endpoints = new ArrayList<>();
        for (Section e : list) {
            e.allowOnly("id", "address", "destination", "kind", "zone", "weight", "draining");
            if (!e.has("destination")) {
                throw e.error("destination", "is missing; write the number of the endpoint's destination");
            }
            endpoints.add(new Instance(e.text("id"), Config.hostPort(e.address("address")),
                    e.integer("destination", 0, 0, Long.MAX_VALUE), e.text("kind", ""), e.text("zone", ""),
                    e.number("weight", 0, 0, Double.MAX_VALUE),
                    e.flag("draining", false) ? Status.DRAINING : Status.PASSING));
        }
        return endpoints;
    }
}
