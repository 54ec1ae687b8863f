package slipfield.membership;

/**
 * An endpoint, as one source tells of it. The same address and destination by two sources is one endpoint.
 *
 * @param id its name at that source
 * @param address host and port
 * @param destination the pool that it is of
 * @param kind the kind of machine; empty: not told
 * @param zone empty: not told
 * @param weight 0: not told
 */
public record Instance(String id, String address, long destination, String kind, String zone, double weight,
        Status status) {
    String key() {
        return destination + "@" + address;
    }
}
