package io.pollenreach.daemon.internal.declare;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.Field;
import io.pollenreach.daemon.internal.yaml.Schema;
import io.pollenreach.daemon.internal.yaml.ValueType;
import io.pollenreach.daemon.internal.yaml.Violation;

/**
 * A resource as an operator declares it, with all defaults filled in.
 *
 * <p>Invariant: it passed every check that needs no server. Immutable by convention: nobody changes the spec.
 *
 * @param kind the kind
 * @param workspace the workspace of a job; empty for other kinds
 * @param name the name
 * @param spec what is declared
 */
public record Declaration(Kind kind, String workspace, String name, ObjectNode spec) {
    /**
     * Checks an envelope and fills in defaults.
     *
     * @param envelope the fields kind, name, workspace and spec; version and status are passed over
     * @param faults takes everything that is wrong
     * @return the declaration, when nothing is wrong
     */
    public static Optional<Declaration> check(ObjectNode envelope, List<Violation> faults) {
        Optional<Kind> kind = kind(envelope, faults);
        if (kind.isEmpty()) {
            return Optional.empty();
        }
        List<Violation> found = new ArrayList<>();
        ObjectNode written = envelope.deepCopy();
        written.remove(List.of("version", "status"));
        ObjectNode filled = table(kind.get()).check(written, "", found);
        if (kind.get() == Kind.WORKSPACE) {
            checkGuarantees(filled.path("spec"), found);
        }
        faults.addAll(found);
        if (!found.isEmpty()) {
            return Optional.empty();
        }
        String workspace = filled.path("workspace").asText();
        return Optional.of(new Declaration(
                kind.get(), workspace, filled.get("name").textValue(), (ObjectNode) filled.get("spec")));
    }

    private static Optional<Kind> kind(ObjectNode envelope, List<Violation> faults) {
        JsonNode word = envelope.get("kind");
        if (word == null || word.isNull()) {
            faults.add(new Violation("kind", ResultCode.MISSING_FIELD, "Write kind: Workspace, Policy or Job."));
            return Optional.empty();
        }
        Optional<Kind> kind = Kind.of(word.asText());
        if (kind.isEmpty()) {
            String detail = "\"" + word.asText() + "\" is not one of Workspace, Policy, Job.";
            faults.add(new Violation("kind", ResultCode.UNKNOWN_KIND, detail));
        }
        return kind;
    }

    private static Schema table(Kind kind) {
        List<Field> fields = new ArrayList<>();
        fields.add(Field.of("kind", ValueType.TEXT, "The kind of the resource."));
        if (kind.inWorkspace()) {
            fields.add(Field.of("workspace", ValueType.NAME, "The workspace that owns the resource."));
        }
        fields.add(Field.of("name", ValueType.NAME, "The name of the resource."));
        Field spec = Field.of("spec", ValueType.OBJECT, "What is declared.");
        fields.add(kind.spec().map(spec::withFields).orElse(spec));
        return new Schema(fields);
    }

    private static void checkGuarantees(JsonNode spec, List<Violation> faults) {
        long guaranteed = 0;
        for (JsonNode shape : spec.path("guarantees")) {
            guaranteed += accelerators(shape);
        }
        JsonNode most = spec.path("maxAccelerators");
        if (most.isIntegralNumber() && guaranteed > most.longValue()) {
            String detail = "The guarantees hold " + guaranteed + " accelerators, more than maxAccelerators allows ("
                    + most + ").";
            faults.add(new Violation("spec.maxAccelerators", ResultCode.CONTRADICTION, detail));
        }
    }

    private static long accelerators(JsonNode shape) {
        return count(shape.path("parts")) * count(shape.path("acceleratorsPerPart"));
    }

    private static long count(JsonNode value) {
        return value.canConvertToInt() ? value.intValue() : 0;
    }

    /** Returns the resource's identity for people, such as {@code Job/tejo/cert-17}. */
    public String title() {
        return kind.text() + "/" + key();
    }

    /** Returns the name, with the workspace before it for a job. */
    public String key() {
        return kind.inWorkspace() ? workspace + "/" + name : name;
    }

    /** Returns the path in the resource API. */
    public String path() {
        return "/v1/" + kind.collection() + "/" + key();
    }

    /** Returns the envelope that is sent to the resource API. */
    public ObjectNode envelope() {
        ObjectNode envelope = JsonNodeFactory.instance.objectNode();
        envelope.put("kind", kind.text());
        envelope.put("name", name);
        if (kind.inWorkspace()) {
            envelope.put("workspace", workspace);
        }
        envelope.set("spec", spec);
        return envelope;
    }
}
