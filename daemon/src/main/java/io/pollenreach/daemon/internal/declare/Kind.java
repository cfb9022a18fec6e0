package io.pollenreach.daemon.internal.declare;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.daemon.internal.yaml.Field;
import io.pollenreach.daemon.internal.yaml.Schema;
import io.pollenreach.daemon.internal.yaml.ValueType;

/** The kinds of resources that an operator declares. Immutable; each constant knows the fields of its spec. */
public enum Kind {
    /** A tenant with guaranteed shapes. */
    WORKSPACE("Workspace", false, workspaceSpec()),
    /** Limits that hold for all workspaces. */
    POLICY("Policy", false, null),
    /** A job of a workspace. */
    JOB("Job", true, jobSpec());

    private final String text;
    private final boolean inWorkspace;
    private final Schema spec;

    Kind(String text, boolean inWorkspace, Schema spec) {
        this.text = text;
        this.inWorkspace = inWorkspace;
        this.spec = spec;
    }

    /** Finds the kind by the word in a declaration, in any case, singular or plural. */
    public static Optional<Kind> of(String word) {
        return Arrays.stream(values()).filter(k -> k.matches(word)).findFirst();
    }

    private boolean matches(String word) {
        String lower = word.toLowerCase(Locale.ROOT);
        return lower.equals(text.toLowerCase(Locale.ROOT)) || lower.equals(collection());
    }

    /** Returns the word in declarations. */
    public String text() {
        return text;
    }

    /** Returns the word in the paths of the resource API. */
    public String collection() {
        return this == POLICY ? "policies" : text.toLowerCase(Locale.ROOT) + "s";
    }

    /** Tells whether resources of this kind belong to a workspace. */
    public boolean inWorkspace() {
        return inWorkspace;
    }

    /** Returns the fields of the spec; empty when any are allowed. */
    public Optional<Schema> spec() {
        return Optional.ofNullable(spec);
    }

    private static Schema shape() {
        return Schema.of(
                Field.of("parts", ValueType.COUNT, "How many parts run together.")
                        .withRange(1, Shape.MAX_PARTS),
                Field.of("acceleratorsPerPart", ValueType.COUNT, "Accelerators that each part holds on one worker.")
                        .withRange(1, Shape.MAX_ACCELERATORS_PER_PART),
                Field.of("adjacency", ValueType.WORD, "How close together the parts must be.")
                        .withWords(Adjacency.values())
                        .withDefault(Adjacency.ANY));
    }

    private static Schema workspaceSpec() {
        return Schema.of(
                Field.of("guarantees", ValueType.OBJECT, "Shapes that can always be reclaimed from borrowers.")
                        .withList()
                        .withFields(shape())
                        .withDefault(List.of()),
                Field.of(
                                "maxAccelerators",
                                ValueType.COUNT,
                                "The most accelerators it may use, borrowed ones included.")
                        .withRange(0, 1_000_000),
                Field.of("share", ValueType.COUNT, "The weight of its requests when many wait.")
                        .withRange(1, 1000)
                        .withDefault(100),
                Field.of("maxWaitingRequests", ValueType.COUNT, "How many of its requests may wait at one entry.")
                        .withRange(0, 100_000)
                        .withDefault(1000),
                Field.of("tokenSha256", ValueType.SHA256, "SHA-256 of the workspace's access token."));
    }

    private static Schema jobSpec() {
        return Schema.of(
                Field.of("shape", ValueType.OBJECT, "The accelerators that it needs together.")
                        .withFields(shape()),
                Field.of("urgency", ValueType.WORD, "How soon it is owed its start.")
                        .withWords(Urgency.values())
                        .withDefault(Urgency.NORMAL),
                Field.of("declaredMs", ValueType.MILLISECONDS, "The expected run time; 0 when unknown.")
                        .withRange(0, 31_536_000_000L)
                        .withDefault(0),
                Field.of("restartable", ValueType.FLAG, "Whether it may run again after a loss or a reclaim.")
                        .withDefault(false),
                Field.of("maxAttempts", ValueType.COUNT, "How many attempts may be lost to failures.")
                        .withRange(1, 100)
                        .withDefault(3),
                Field.of("command", ValueType.TEXT, "The argument for the worker's runtime.")
                        .withRange(1, 65_536));
    }
}
