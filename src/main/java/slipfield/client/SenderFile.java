package slipfield.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * Senders from a YAML file with one list, {@code senders: [127.0.0.1:7070, ...]}. The file is checked for changes once a
 * second. While it can't be read or its list is empty, the last list stays in force.
 */
public final class SenderFile implements Senders {
    private static final Logger LOG = LoggerFactory.getLogger(SenderFile.class);
    private static final long CHECK_MS = 1000;

    private final Path path;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread daemon = new Thread(task, "slipfield-senders");
        daemon.setDaemon(true);
        return daemon;
    });
    private String lastText = "";

    /** Senders from this file. */
    public SenderFile(Path path) {
        this.path = path;
    }

    @Override
    public void start(Consumer<List<InetSocketAddress>> listener) {
        executor.scheduleWithFixedDelay(() -> reload(listener), 0, CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private void reload(Consumer<List<InetSocketAddress>> listener) {
        String text;
        try {
            text = Files.readString(path, StandardCharsets.UTF_8);
            if (text.equals(lastText)) {
                return;
            }
            lastText = text;
            listener.accept(read(path, text));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("senders.unreadable cause={}", e.toString());
        }
    }

    /** Parses the list; throws {@link IllegalArgumentException} that names the file and how to correct it. */
    static List<InetSocketAddress> read(Path path, String text) {
        Object root;
        try {
            root = new Load(LoadSettings.builder().setLabel(path.toString()).build()).loadFromString(text);
        } catch (YamlEngineException e) {
            throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
        }
        if (!(root instanceof Map<?, ?> map) || !(map.get("senders") instanceof List<?> list) || map.size() > 1) {
            throw new IllegalArgumentException(path + ": must contain exactly one list; write `senders: [127.0.0.1:7070]`");
        }
        List<InetSocketAddress> senders = new ArrayList<>();
        for (Object item : list) {
            senders.add(address(path + ": ", String.valueOf(item)));
        }
        return senders;
    }

    /** Parses an address such as {@code 127.0.0.1:7070}. Host names are not allowed: senders are identified by their address. */
    static InetSocketAddress address(String place, String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Reported below.
        }
        throw new IllegalArgumentException(place + "not an address with a port: '" + text + "'; write it as 127.0.0.1:7070");
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
