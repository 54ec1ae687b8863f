package slipfield.rig.plan;

import java.util.Collection;

/** What a set of faults that hold at one time makes of each link. */
public final class Links {
    private static final Conditions HELD = new Conditions(0, 0, 0, 0, 0, true);

    private Links() {
    }

    /** How a link takes new connections, and what becomes of those that stand. */
    public enum Door {
        /** They come up, and stand. */
        OPEN,
        /** Refused; those that stand are reset. */
        REFUSING,
        /** They come up and are reset at once, as are those that stand. */
        RESETTING
    }

    /** One direction of the link between a sender and a venue; {@code toVenue}: which. */
    public static Conditions venue(Collection<Fault> now, int sender, int venue, boolean toVenue) {
        Conditions sum = Conditions.WHOLE;
        for (Fault f : now) {
            if (!f.strikes(sender, venue)) {
                continue;
            }
            sum = switch (f.kind()) {
                case VENUE_SILENT -> sum.and(HELD);
                case VENUE_DEAF -> toVenue ? sum.and(HELD) : sum;
                case VENUE_MUTE -> toVenue ? sum : sum.and(HELD);
                case VENUE_SLOW -> sum.and(new Conditions(f.size(), f.size() / 2, 0, 0, 0, false));
                case VENUE_NARROW -> sum.and(new Conditions(0, 0, 0, 0, Math.max(1, f.size()), false));
                default -> sum;
            };
        }
        return sum;
    }

    /** How the link between a sender and a venue takes connections. */
    public static Door door(Collection<Fault> now, int sender, int venue) {
        Door door = Door.OPEN;
        for (Fault f : now) {
            if (f.strikes(sender, venue) && f.kind() == Fault.Kind.VENUE_REFUSE) {
                return Door.REFUSING;
            }
            door = f.strikes(sender, venue) && f.kind() == Fault.Kind.VENUE_RESET ? Door.RESETTING : door;
        }
        return door;
    }

    /** Notes from one sender to another. */
    public static Conditions notes(Collection<Fault> now, int from, int to) {
        Conditions sum = Conditions.WHOLE;
        for (Fault f : now) {
            boolean out = f.strikes(from, to);
            if (!f.kind().betweenSenders() || !out && !f.strikes(to, from)) {
                continue;
            }
            sum = switch (f.kind()) {
                case NOTES_CUT -> sum.and(HELD);
                case NOTES_DEAF -> out ? sum.and(HELD) : sum;
                case NOTES_LOST -> sum.and(new Conditions(0, 0, Math.min(1, f.size()), 0, 0, false));
                case NOTES_SLOW -> sum.and(new Conditions(f.size(), f.size() / 2, 0, 0, 0, false));
                default -> sum.and(new Conditions(0, 50, 0, Math.min(1, f.size()), 0, false));
            };
        }
        return sum;
    }
}
