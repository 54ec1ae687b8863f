package slipfield.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.snakeyaml.engine.v2.api.Dump;
import org.snakeyaml.engine.v2.api.DumpSettings;
import org.snakeyaml.engine.v2.common.FlowStyle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import slipfield.settings.Section;

/** An operator's file of the form before, as YAML. */
@Command(name = "convert", mixinStandardHelpOptions = true,
        description = "Prints an operator's file of before (JSON with comments, times in fields that end in _ms) as YAML, in "
                + "which times have a unit. Comments are not taken along.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:printed", "2:the file can't be read"})
final class ConvertCommand implements Callable<Integer> {
    private static final String MS = "_ms";

    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FILE", description = "The file of before, such as members.conf")
    private Path file;

    @Override
    public Integer call() {
        JsonNode old;
        try {
            old = JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build()
                    .readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            spec.commandLine().getErr().println(file + ":" + e.getLocation().getLineNr() + ":"
                    + e.getLocation().getColumnNr() + ": " + e.getOriginalMessage());
            return 2;
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + " can't be read: " + e.getMessage());
            return 2;
        }
        DumpSettings settings = DumpSettings.builder().setDefaultFlowStyle(FlowStyle.AUTO).build();
        spec.commandLine().getOut().print(new Dump(settings).dumpToString(plain(old)));
        spec.commandLine().getOut().flush();
        return 0;
    }

    private static Object plain(JsonNode node) {
        if (node.isObject()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            node.properties().forEach(e -> {
                boolean time = e.getKey().endsWith(MS) && e.getValue().isIntegralNumber();
                fields.put(time ? e.getKey().substring(0, e.getKey().length() - MS.length()) : e.getKey(),
                        time ? Section.time(e.getValue().asLong()) : plain(e.getValue()));
            });
            return fields;
        }
        if (node.isArray()) {
            List<Object> items = new ArrayList<>();
            node.forEach(item -> items.add(plain(item)));
            return items;
        }
        return node.isIntegralNumber() ? (Object) node.asLong() : node.isNumber() ? (Object) node.asDouble()
                : node.isBoolean() ? (Object) node.asBoolean() : node.asText();
    }
}
