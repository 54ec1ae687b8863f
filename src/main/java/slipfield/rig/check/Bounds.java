package slipfield.rig.check;

/**
 * The figures of the rules, in ms and shares.
 *
 * @param lateMs an end may come so much after its order's time
 * @param windowMs a venue knows a key for so long
 * @param drainMs nothing new goes to a venue later than this after its sender was told that it drains
 * @param graceMs calls that come within this after a wait was told were under way
 * @param limitPerSecond calls that a venue takes from all senders together; 0: any number
 * @param over the share by which calls may be over the limit
 * @param burst calls that may be over it at any time
 * @param overForMs spans over which the limit is counted: this and twice, four and eight times as long
 * @param capacityPerSecond calls that a warm venue can do; 0: any number
 * @param startCapacity the share of that which a venue can do when it is back from an outage
 * @param warmMs from its return until it can do all
 * @param fallMultiple more than this many times what it can do, over {@code fallMs}, pushes it over
 * @param fallMs see there
 */
public record Bounds(double lateMs, double windowMs, double drainMs, double graceMs, double limitPerSecond, double over,
        double burst, double overForMs, double capacityPerSecond, double startCapacity, double warmMs, double fallMultiple,
        double fallMs) {
}
