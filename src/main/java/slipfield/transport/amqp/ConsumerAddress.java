package slipfield.transport.amqp;

import java.net.SocketAddress;

/** The address of a consumer: its endpoint name instead of a network address. */
public final class ConsumerAddress extends SocketAddress {
    private static final long serialVersionUID = 1;

    private final String name;

    ConsumerAddress(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConsumerAddress a && a.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    @Override
    public String toString() {
        return "amqp:" + name;
    }
}
