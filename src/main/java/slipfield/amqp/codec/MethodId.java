package slipfield.amqp.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The methods of AMQP 0-9-1 with their fields, as in the tables of the specification (1.3 to 1.9 of the reference), and
 * common extensions: confirms, {@code basic.nack}, {@code connection.blocked}, bindings between exchanges and
 * {@code connection.update-secret}. The suffix {@code !} marks a method that content follows.
 */
public enum MethodId {
    CONNECTION_START(10, 10, "octet version-major, octet version-minor, table server-properties, longstr mechanisms, "
            + "longstr locales"),
    CONNECTION_START_OK(10, 11, "table client-properties, shortstr mechanism, longstr response, shortstr locale"),
    CONNECTION_SECURE(10, 20, "longstr challenge"),
    CONNECTION_SECURE_OK(10, 21, "longstr response"),
    CONNECTION_TUNE(10, 30, "short channel-max, long frame-max, short heartbeat"),
    CONNECTION_TUNE_OK(10, 31, "short channel-max, long frame-max, short heartbeat"),
    CONNECTION_OPEN(10, 40, "shortstr virtual-host, shortstr reserved-1, bit reserved-2"),
    CONNECTION_OPEN_OK(10, 41, "shortstr reserved-1"),
    CONNECTION_CLOSE(10, 50, "short reply-code, shortstr reply-text, short class-id, short method-id"),
    CONNECTION_CLOSE_OK(10, 51, ""),
    CONNECTION_BLOCKED(10, 60, "shortstr reason"),
    CONNECTION_UNBLOCKED(10, 61, ""),
    CONNECTION_UPDATE_SECRET(10, 70, "longstr new-secret, shortstr reason"),
    CONNECTION_UPDATE_SECRET_OK(10, 71, ""),
    CHANNEL_OPEN(20, 10, "shortstr reserved-1"),
    CHANNEL_OPEN_OK(20, 11, "longstr reserved-1"),
    CHANNEL_FLOW(20, 20, "bit active"),
    CHANNEL_FLOW_OK(20, 21, "bit active"),
    CHANNEL_CLOSE(20, 40, "short reply-code, shortstr reply-text, short class-id, short method-id"),
    CHANNEL_CLOSE_OK(20, 41, ""),
    EXCHANGE_DECLARE(40, 10, "short reserved-1, shortstr exchange, shortstr type, bit passive, bit durable, "
            + "bit auto-delete, bit internal, bit no-wait, table arguments"),
    EXCHANGE_DECLARE_OK(40, 11, ""),
    EXCHANGE_DELETE(40, 20, "short reserved-1, shortstr exchange, bit if-unused, bit no-wait"),
    EXCHANGE_DELETE_OK(40, 21, ""),
    EXCHANGE_BIND(40, 30, "short reserved-1, shortstr destination, shortstr source, shortstr routing-key, bit no-wait, "
            + "table arguments"),
    EXCHANGE_BIND_OK(40, 31, ""),
    EXCHANGE_UNBIND(40, 40, "short reserved-1, shortstr destination, shortstr source, shortstr routing-key, "
            + "bit no-wait, table arguments"),
    EXCHANGE_UNBIND_OK(40, 51, ""),
    QUEUE_DECLARE(50, 10, "short reserved-1, shortstr queue, bit passive, bit durable, bit exclusive, bit auto-delete, "
            + "bit no-wait, table arguments"),
    QUEUE_DECLARE_OK(50, 11, "shortstr queue, long message-count, long consumer-count"),
    QUEUE_BIND(50, 20, "short reserved-1, shortstr queue, shortstr exchange, shortstr routing-key, bit no-wait, "
            + "table arguments"),
    QUEUE_BIND_OK(50, 21, ""),
    QUEUE_PURGE(50, 30, "short reserved-1, shortstr queue, bit no-wait"),
    QUEUE_PURGE_OK(50, 31, "long message-count"),
    QUEUE_DELETE(50, 40, "short reserved-1, shortstr queue, bit if-unused, bit if-empty, bit no-wait"),
    QUEUE_DELETE_OK(50, 41, "long message-count"),
    QUEUE_UNBIND(50, 50, "short reserved-1, shortstr queue, shortstr exchange, shortstr routing-key, table arguments"),
    QUEUE_UNBIND_OK(50, 51, ""),
    BASIC_QOS(60, 10, "long prefetch-size, short prefetch-count, bit global"),
    BASIC_QOS_OK(60, 11, ""),
    BASIC_CONSUME(60, 20, "short reserved-1, shortstr queue, shortstr consumer-tag, bit no-local, bit no-ack, "
            + "bit exclusive, bit no-wait, table arguments"),
    BASIC_CONSUME_OK(60, 21, "shortstr consumer-tag"),
    BASIC_CANCEL(60, 30, "shortstr consumer-tag, bit no-wait"),
    BASIC_CANCEL_OK(60, 31, "shortstr consumer-tag"),
    BASIC_PUBLISH(60, 40, "short reserved-1, shortstr exchange, shortstr routing-key, bit mandatory, bit immediate!"),
    BASIC_RETURN(60, 50, "short reply-code, shortstr reply-text, shortstr exchange, shortstr routing-key!"),
    BASIC_DELIVER(60, 60, "shortstr consumer-tag, longlong delivery-tag, bit redelivered, shortstr exchange, "
            + "shortstr routing-key!"),
    BASIC_GET(60, 70, "short reserved-1, shortstr queue, bit no-ack"),
    BASIC_GET_OK(60, 71, "longlong delivery-tag, bit redelivered, shortstr exchange, shortstr routing-key, "
            + "long message-count!"),
    BASIC_GET_EMPTY(60, 72, "shortstr reserved-1"),
    BASIC_ACK(60, 80, "longlong delivery-tag, bit multiple"),
    BASIC_REJECT(60, 90, "longlong delivery-tag, bit requeue"),
    BASIC_RECOVER_ASYNC(60, 100, "bit requeue"),
    BASIC_RECOVER(60, 110, "bit requeue"),
    BASIC_RECOVER_OK(60, 111, ""),
    BASIC_NACK(60, 120, "longlong delivery-tag, bit multiple, bit requeue"),
    CONFIRM_SELECT(85, 10, "bit no-wait"),
    CONFIRM_SELECT_OK(85, 11, ""),
    TX_SELECT(90, 10, ""),
    TX_SELECT_OK(90, 11, ""),
    TX_COMMIT(90, 20, ""),
    TX_COMMIT_OK(90, 21, ""),
    TX_ROLLBACK(90, 30, ""),
    TX_ROLLBACK_OK(90, 31, "");

    private static final Map<Integer, MethodId> BY_IDS = new HashMap<>();

    static {
        for (MethodId id : values()) {
            BY_IDS.put(id.classId << 16 | id.methodId, id);
        }
    }

    private final int classId;
    private final int methodId;
    private final boolean content;
    private final List<String> fieldNames = new ArrayList<>();
    private final Domain[] domains;

    MethodId(int classId, int methodId, String fields) {
        this.classId = classId;
        this.methodId = methodId;
        this.content = fields.endsWith("!");
        List<Domain> types = new ArrayList<>();
        for (String field : (content ? fields.substring(0, fields.length() - 1) : fields).split(", ")) {
            if (!field.isEmpty()) {
                types.add(Domain.valueOf(field.substring(0, field.indexOf(' ')).toUpperCase(Locale.ROOT)));
                fieldNames.add(field.substring(field.indexOf(' ') + 1));
            }
        }
        domains = types.toArray(new Domain[0]);
    }

    /** The class id: 10 connection, 20 channel, 40 exchange, 50 queue, 60 basic, 85 confirm, 90 tx. */
    public int classId() {
        return classId;
    }

    /** The method id within the class. */
    public int methodId() {
        return methodId;
    }

    /** Whether a content header and a body follow the method. */
    public boolean hasContent() {
        return content;
    }

    Domain[] domains() {
        return domains;
    }

    /** The index of a field. */
    int field(String name) {
        int index = fieldNames.indexOf(name);
        if (index < 0) {
            throw new IllegalArgumentException(this + " has no field " + name);
        }
        return index;
    }

    /** The method with these ids, or null. */
    static MethodId of(int classId, int methodId) {
        return BY_IDS.get(classId << 16 | methodId);
    }

    /** The name in the specification, such as {@code basic.publish}. */
    @Override
    public String toString() {
        String name = name().toLowerCase(Locale.ROOT);
        return name.substring(0, name.indexOf('_')) + "." + name.substring(name.indexOf('_') + 1).replace('_', '-');
    }
}
