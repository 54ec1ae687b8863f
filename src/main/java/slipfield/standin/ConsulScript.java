package slipfield.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * What a stand-in Consul does, when: a line each of milliseconds since the start, what, and whose. Lines that are empty
 * or begin with {@code #} say nothing.
 *
 * <pre>
 * 0     register NAME ID HOST:PORT [TAG|KEY=VALUE ...]
 * 500   check ID passing|warning|critical
 * 900   maintenance ID|node on|off
 * 1200  deregister ID
 * 1500  fault none|hang|error|...
 * 2000  restore INDEX
 * 2500  token TOKEN|none
 * 3000  clear
 * </pre>
 */
public final class ConsulScript {
    private final List<Step> steps;

    private record Step(long atMs, Runnable action) {
    }

    private ConsulScript(List<Step> steps) {
        this.steps = steps;
    }

    /** Reads it; an error names the file, the line and the mend. */
    public static ConsulScript read(Path file, ConsulCluster cluster, ConsulAgent agent) throws IOException {
        List<Step> steps = new ArrayList<>();
        List<String> lines = Files.readAllLines(file);
        long before = 0;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).trim();
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            try {
                String[] words = line.split("\\s+");
                long atMs = Long.parseLong(words[0]);
                if (atMs < before) {
                    throw new IllegalArgumentException("its time is before that of the line above");
                }
                before = atMs;
                steps.add(new Step(atMs, action(Arrays.copyOfRange(words, 1, words.length), cluster, agent)));
            } catch (NumberFormatException e) {
                throw new IOException(file + ", line " + (i + 1) + ": a number is wanted: " + e.getMessage(), e);
            } catch (IllegalArgumentException e) {
                throw new IOException(file + ", line " + (i + 1) + ": " + e.getMessage(), e);
            }
        }
        return new ConsulScript(steps);
    }

    private static Runnable action(String[] words, ConsulCluster cluster, ConsulAgent agent) {
        String what = words.length == 0 ? "" : words[0];
        switch (what) {
            case "register" -> {
                wants(words.length >= 4, "register NAME ID HOST:PORT [TAG|KEY=VALUE ...]");
                int cut = words[3].lastIndexOf(':');
                wants(cut > 0, "an address as HOST:PORT, not '" + words[3] + "'");
                int port = Integer.parseInt(words[3].substring(cut + 1));
                List<String> tags = new ArrayList<>();
                Map<String, String> meta = new TreeMap<>();
                for (String more : Arrays.copyOfRange(words, 4, words.length)) {
                    String[] pair = more.split("=", 2);
                    if (pair.length == 2) {
                        meta.put(pair[0], pair[1]);
                    } else {
                        tags.add(more);
                    }
                }
                return () -> cluster.register(words[1], words[2], words[3].substring(0, cut), port, tags, meta);
            }
            case "check" -> {
                wants(words.length == 3 && List.of("passing", "warning", "critical").contains(words[2]),
                        "check ID passing|warning|critical");
                return () -> cluster.serviceCheck(words[1], words[2]);
            }
            case "maintenance" -> {
                wants(words.length == 3 && List.of("on", "off").contains(words[2]), "maintenance ID|node on|off");
                String id = words[1].equals("node") ? "" : words[1];
                return () -> cluster.maintenance(id, words[2].equals("on"), "by the script");
            }
            case "deregister" -> {
                wants(words.length == 2, "deregister ID");
                return () -> cluster.deregister(words[1]);
            }
            case "fault" -> {
                wants(words.length == 2, "fault and one of " + names());
                try {
                    ConsulAgent.Fault fault = ConsulAgent.Fault.valueOf(words[1].toUpperCase(Locale.ROOT));
                    return () -> agent.fault(fault);
                } catch (IllegalArgumentException e) {
                    throw new IllegalArgumentException("fault is one of " + names() + ", not '" + words[1] + "'", e);
                }
            }
            case "restore" -> {
                wants(words.length == 2, "restore INDEX");
                long index = Long.parseLong(words[1]);
                return () -> cluster.restore(index);
            }
            case "token" -> {
                wants(words.length == 2, "token TOKEN, or token none");
                return () -> cluster.token(words[1].equals("none") ? "" : words[1]);
            }
            case "clear" -> {
                wants(words.length == 1, "clear, and nothing behind it");
                return cluster::clear;
            }
            default -> throw new IllegalArgumentException("'" + what + "' is none of register, check, maintenance, "
                    + "deregister, fault, restore, token, clear");
        }
    }

    private static void wants(boolean holds, String form) {
        if (!holds) {
            throw new IllegalArgumentException("it is to read: " + form);
        }
    }

    private static String names() {
        return Arrays.toString(ConsulAgent.Fault.values()).toLowerCase(Locale.ROOT);
    }

    /** Does each step at its time, on the caller's thread. */
    public void play() throws InterruptedException {
        long begun = System.nanoTime();
        for (Step step : steps) {
            long waitMs = step.atMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            step.action.run();
        }
    }
}
