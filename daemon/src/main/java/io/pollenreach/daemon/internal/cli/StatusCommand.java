package io.pollenreach.daemon.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import io.pollenreach.ResultCode;

/** Shows the state of the system. For use by one thread. */
@Command(name = "status", description = "Shows entries, configuration version, readiness and counts")
public final class StatusCommand extends ClientCommand {
    @Override
    int run(Console console, ApiClient api) {
        JsonNode status = api.get("/v1/status");
        if (json()) {
            console.out().println(status.toPrettyString());
            return ResultCode.OK.exitStatus();
        }
        TextTable table = new TextTable("KEY", "VALUE");
        addRows("", status, table);
        table.print(console.out());
        return ResultCode.OK.exitStatus();
    }

    private static void addRows(String prefix, JsonNode node, TextTable table) {
        node.fields().forEachRemaining(f -> addRow(prefix + f.getKey(), f.getValue(), table));
    }

    /** Adds a value to a table of two columns, or a row for each of its fields. */
    static void addRow(String key, JsonNode value, TextTable table) {
        if (value.isObject()) {
            addRows(key + ".", value, table);
            return;
        }
        table.add(List.of(key, text(value)));
    }

    private static String text(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        List<String> parts = new ArrayList<>();
        value.forEach(v -> parts.add(v.isValueNode() ? v.asText() : v.toString()));
        return String.join(",", parts);
    }
}
