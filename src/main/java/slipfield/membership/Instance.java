package slipfield.membership;

/**
 * An endpoint as one source reports it. Reports of several sources about the same address and destination concern the same
 * endpoint.
 *
 * @param id its id at that source
 * @param address host and port
 * @param destination the destination whose pool it belongs to
 * @param kind the kind of machine; empty if not reported
 * @param zone empty if not reported
 * @param weight 0 if not reported
 */
public record Instance(String id, String address, long destination, String kind, String zone, double weight,
        Status status) {
    String key() {
        return destination + "@" + address;
    }
}
