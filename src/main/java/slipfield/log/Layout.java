package slipfield.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The format of a log line: {@code TIME LEVEL EVENT name=value ...}, or one JSON object. */
enum Layout {
    /** For operators to read. */
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
    /** For programs to parse. */
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

    private static final int MAX_VALUE_LENGTH = 1000;

    abstract String line(Instant at, String level, String event, Object... fields);

    final String line(String level, String event, Object... fields) {
        return line(Instant.now(), level, event, fields);
    }

    /** The layout with this name; text if it is absent or unknown, so that a wrong log setting does not prevent a start. */
    static Layout named(String name) {
        return "json".equalsIgnoreCase(name) ? JSON : TEXT;
    }

    /** Whether a value can be written without quotes. */
    private static boolean plain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\') {
                return false;
            }
        }
        return !value.isEmpty() && value.length() <= MAX_VALUE_LENGTH;
    }

    /** Appends a value in quotes, on one line and truncated: it may come from a peer. */
    private static void quote(StringBuilder line, String value) {
        String bounded = value.length() > MAX_VALUE_LENGTH ? value.substring(0, MAX_VALUE_LENGTH) + "..." : value;
        line.append('"');
        JsonStringEncoder.getInstance().quoteAsString(bounded, line);
        line.append('"');
    }
}
