package slipfield.rig.check;

import java.util.Locale;
import slipfield.standin.Witness;

/** One thing that a party saw, in ms from the start of the run; what does not apply is -1 or empty. */
public record Event(double atMs, Witness.What what, String order, int sender, int venue, double value) {
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.1f %s %s sender=%d venue=%d value=%.0f", atMs, what, order, sender, venue, value);
    }
}
