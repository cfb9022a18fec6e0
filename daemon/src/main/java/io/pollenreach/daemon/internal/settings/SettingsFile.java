package io.pollenreach.daemon.internal.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.Document;
import io.pollenreach.daemon.internal.yaml.Problem;
import io.pollenreach.daemon.internal.yaml.ProblemsException;
import io.pollenreach.daemon.internal.yaml.Schema;
import io.pollenreach.daemon.internal.yaml.Violation;
import io.pollenreach.daemon.internal.yaml.YamlReader;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.TargetKind;

/**
 * Loads the settings of the programs from YAML files.
 *
 * <p>Invariant: settings that are returned passed every check. All problems of a file are reported together, in a
 * {@link ProblemsException}. Stateless, so safe for use by many threads.
 *
 * <pre>{@code
 * EntrySettings settings = SettingsFile.loadEntry(Path.of("entry.yaml"));
 * }</pre>
 */
public final class SettingsFile {
    private SettingsFile() {}

    /** Loads the settings of an entry. */
    public static EntrySettings loadEntry(Path path) {
        return load(path, SettingsKeys.entry(), SettingsFile::checkEntry, EntrySettings.class);
    }

    /** Loads the settings of an agent. */
    public static AgentSettings loadAgent(Path path) {
        return load(path, SettingsKeys.agent(), SettingsFile::checkAgent, AgentSettings.class);
    }

    private static <T> T load(Path path, Schema schema, BiConsumer<ObjectNode, List<Violation>> rules, Class<T> type) {
        List<Problem> problems = new ArrayList<>();
        List<Document> documents = YamlReader.read(path, problems);
        if (documents.size() != 1 && problems.isEmpty()) {
            String detail = "Expected one document with settings, found " + documents.size() + ".";
            problems.add(new Problem(path.toString(), 1, new Violation("", ResultCode.MALFORMED, detail)));
        }
        ObjectNode filled = null;
        for (Document document : documents) {
            List<Violation> faults = new ArrayList<>();
            filled = schema.check(document.root(), "", faults);
            rules.accept(filled, faults);
            faults.forEach(f -> problems.add(document.locate(f)));
        }
        problems.sort(Comparator.comparingInt(Problem::line));
        ProblemsException.throwIfAny(problems);
        return bind(filled, type);
    }

    private static <T> T bind(ObjectNode filled, Class<T> type) {
        try {
            return Json.strict().treeToValue(filled, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the table of settings does not match " + type.getSimpleName(), e);
        }
    }

    private static void checkEntry(ObjectNode settings, List<Violation> faults) {
        checkAddressesDiffer(settings, faults);
    }

    private static void checkAgent(ObjectNode settings, List<Violation> faults) {
        checkAddressesDiffer(settings, faults);
        if (settings.path("entries").isArray() && settings.path("entries").isEmpty()) {
            faults.add(new Violation("entries", ResultCode.OUT_OF_RANGE, "Name at least one entry or the balancer."));
        }
        String kind = settings.path("kind").asText();
        if (kind.equals(TargetKind.WORKER.name())) {
            require(settings, "accelerators", "worker", faults);
            refuse(settings, "worker", faults, "service", "slots", "connections");
        }
        if (kind.equals(TargetKind.RUNNER.name())) {
            require(settings, "service", "runner", faults);
            require(settings, "slots", "runner", faults);
            require(settings, "connections", "runner", faults);
            refuse(settings, "runner", faults, "accelerators");
            checkConnections(settings, faults);
        }
    }

    private static void checkAddressesDiffer(ObjectNode settings, List<Violation> faults) {
        String http = settings.path("httpAddress").asText();
        if (!http.isEmpty() && http.equals(settings.path("rpcAddress").asText())) {
            String detail = "httpAddress and rpcAddress are the same; each needs its own port.";
            faults.add(new Violation("rpcAddress", ResultCode.CONTRADICTION, detail));
        }
    }

    private static void checkConnections(ObjectNode settings, List<Violation> faults) {
        long connections = settings.path("connections").asLong();
        long slots = settings.path("slots").asLong();
        if (connections > 0 && connections < slots) {
            String detail = "There are fewer connections (" + connections + ") than slots (" + slots + ").";
            faults.add(new Violation("connections", ResultCode.CONTRADICTION, detail));
        }
    }

    private static void require(ObjectNode settings, String key, String kind, List<Violation> faults) {
        if (absent(settings, key)) {
            faults.add(new Violation(key, ResultCode.MISSING_FIELD, "The key is required for a " + kind + "."));
        }
    }

    private static void refuse(ObjectNode settings, String kind, List<Violation> faults, String... keys) {
        for (String key : keys) {
            if (!absent(settings, key)) {
                faults.add(new Violation(key, ResultCode.CONTRADICTION, "The key makes no sense for a " + kind + "."));
            }
        }
    }

    private static boolean absent(ObjectNode settings, String key) {
        String text = settings.path(key).asText();
        return text.isEmpty() || text.equals("0");
    }
}
