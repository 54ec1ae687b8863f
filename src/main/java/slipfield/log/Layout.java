package slipfield.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** How an event is written: {@code TIME LEVEL EVENT name=value ...}, or one JSON object. */
enum Layout {
    /** For people. */
    TEXT {
        @Override
        String line(Instant at, String level, String event, Object... fields) {
            StringBuilder line = new StringBuilder(128).append(at.truncatedTo(ChronoUnit.MILLIS)).append(' ')
                    .append(level).append(' ').append(event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                line.append(' ').append(fields[i]).append('=');
                String value = String.valueOf(fields[i + 1]);
                if (plain(value)) {
                    line.append(value);
                } else {
                    quote(line, value);
                }
            }
            return line.toString();
        }
    },
    /** For programs. */
    JSON {
        @Override
        String line(Instant at, String level, String event, Object... fields) {
            StringBuilder line = new StringBuilder(160).append("{\"at\":\"").append(at.truncatedTo(ChronoUnit.MILLIS))
                    .append("\",\"level\":\"").append(level).append("\",\"event\":");
            quote(line, event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                line.append(',');
                quote(line, String.valueOf(fields[i]));
                line.append(':');
                Object value = fields[i + 1];
                if (value instanceof Long || value instanceof Integer || value instanceof Boolean) {
                    line.append(value);
                } else {
                    quote(line, String.valueOf(value));
                }
            }
            return line.append('}').toString();
        }
    };

    private static final int LONGEST = 1000;

    abstract String line(Instant at, String level, String event, Object... fields);

    final String line(String level, String event, Object... fields) {
        return line(Instant.now(), level, event, fields);
    }

    /** The layout of this name; text where it is absent or unknown: a sender is not kept from its start by its log. */
    static Layout named(String name) {
        return "json".equalsIgnoreCase(name) ? JSON : TEXT;
    }

    private static boolean plain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\') {
                return false;
            }
        }
        return !value.isEmpty() && value.length() <= LONGEST;
    }

    /** Quoted, on one line and bounded, whatever a peer put into it. */
    private static void quote(StringBuilder line, String value) {
        String bounded = value.length() > LONGEST ? value.substring(0, LONGEST) + "..." : value;
        line.append('"');
        JsonStringEncoder.getInstance().quoteAsString(bounded, line);
        line.append('"');
    }
}
