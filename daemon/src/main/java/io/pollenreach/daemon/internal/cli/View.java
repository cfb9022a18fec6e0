package io.pollenreach.daemon.internal.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/** What {@code get} can show, with the columns of each table. Immutable. */
enum View {
    WORKSPACES(
            "workspace",
            "NAME",
            "/name",
            "VERSION",
            "/version",
            "STATE",
            "/status/state",
            "CONFIG",
            "/status/configVersion",
            "MAX",
            "/spec/maxAccelerators",
            "SHARE",
            "/spec/share",
            "GUARANTEES",
            "/spec/guarantees"),
    POLICIES("policy", "NAME", "/name", "VERSION", "/version", "SPEC", "/spec"),
    JOBS(
            "job",
            "WORKSPACE",
            "/workspace",
            "NAME",
            "/name",
            "STATE",
            "/status/state",
            "ATTEMPT",
            "/status/attempt",
            "CODE",
            "/status/code",
            "BORROWED",
            "/status/borrowed",
            "PLACEMENT",
            "/status/placement",
            "DETAIL",
            "/status/detail"),
    TARGETS(
            "target",
            "NAME",
            "/name",
            "KIND",
            "/spec/kind",
            "SERVICE",
            "/spec/service",
            "ZONE",
            "/spec/zone",
            "RACK",
            "/spec/rack",
            "STATE",
            "/status/state",
            "ACCELERATORS",
            "/spec/accelerators",
            "SLOTS",
            "/spec/slots",
            "IN-USE",
            "/spec/load/inUse",
            "FAILURES",
            "/spec/load/recentFailures"),
    /** The runner's answer is shown as it is, without a table. */
    REQUESTS("request");

    private final String singular;
    private final List<String> titles = new ArrayList<>();
    private final List<String> pointers = new ArrayList<>();

    View(String singular, String... titlesAndPointers) {
        this.singular = singular;
        for (int i = 0; i < titlesAndPointers.length; i += 2) {
            titles.add(titlesAndPointers[i]);
            pointers.add(titlesAndPointers[i + 1]);
        }
    }

    /** Finds a view by its word, in any case, singular or plural. */
    static Optional<View> of(String word) {
        String lower = word.toLowerCase(Locale.ROOT);
        return Arrays.stream(values())
                .filter(v -> lower.equals(v.singular) || lower.equals(v.collection()))
                .findFirst();
    }

    /** Returns the word in the paths of the resource API. */
    String collection() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the table of some resources. */
    TextTable table(Iterable<JsonNode> resources) {
        TextTable table = new TextTable(titles.toArray(String[]::new));
        resources.forEach(
                r -> table.add(pointers.stream().map(p -> text(r.at(p))).toList()));
        return table;
    }

    private static String text(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isArray()) {
            List<String> parts = new ArrayList<>();
            value.forEach(v -> parts.add(element(v)));
            return parts.isEmpty() ? "-" : String.join(",", parts);
        }
        String text = value.isValueNode() ? value.asText() : value.toString();
        return text.isEmpty() ? "-" : text;
    }

    private static String element(JsonNode value) {
        if (value.has("worker")) {
            return value.path("worker").asText();
        }
        if (value.has("parts")) {
            return value.path("parts").asText() + "x"
                    + value.path("acceleratorsPerPart").asText() + ":"
                    + value.path("adjacency").asText();
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
