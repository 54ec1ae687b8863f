package slipfield.rig.check;

/** A rule that did not hold, and what shows it. */
public record Violation(String rule, double atMs, String shownBy) {
}
