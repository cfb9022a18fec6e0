package io.pollenreach.daemon.internal.yaml;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a table says about one key: its type, unit, range, default and meaning.
 *
 * <p>Immutable: each {@code with} method returns a copy. A key without a default is required.
 *
 * <pre>{@code
 * Field.of("drainTimeoutMs", ValueType.MILLISECONDS, "How long a graceful shutdown waits.")
 *         .withRange(0, 600_000)
 *         .withDefault(30_000);
 * }</pre>
 */
public final class Field {
    private static final ObjectMapper NODES = new ObjectMapper();

    private final String name;
    private final ValueType type;
    private final String description;
    private boolean list;
    private long min = 1;
    private long max = Integer.MAX_VALUE;
    private List<String> words = List.of();
    private JsonNode defaultValue;
    private Schema fields;

    private Field(String name, ValueType type, String description) {
        this.name = name;
        this.type = type;
        this.description = description;
    }

    /** Returns a required field. */
    public static Field of(String name, ValueType type, String description) {
        return new Field(name, type, description);
    }

    /** Returns a copy with the range of a number, or of the length of a text. */
    public Field withRange(long least, long most) {
        Field copy = copy();
        copy.min = least;
        copy.max = most;
        return copy;
    }

    /** Returns a copy that allows only these words. */
    public Field withWords(Enum<?>... values) {
        Field copy = copy();
        copy.words = List.of(values).stream().map(Enum::name).toList();
        return copy;
    }

    /** Returns a copy that need not be written. */
    public Field withDefault(Object value) {
        Field copy = copy();
        copy.defaultValue = NODES.valueToTree(value);
        return copy;
    }

    /** Returns a copy whose value is a list of the type. */
    public Field withList() {
        Field copy = copy();
        copy.list = true;
        return copy;
    }

    /** Returns a copy whose value is a mapping with these fields. */
    public Field withFields(Schema schema) {
        Field copy = copy();
        copy.fields = schema;
        return copy;
    }

    private Field copy() {
        Field copy = new Field(name, type, description);
        copy.list = list;
        copy.min = min;
        copy.max = max;
        copy.words = words;
        copy.defaultValue = defaultValue;
        copy.fields = fields;
        return copy;
    }

    /** Returns the key. */
    public String name() {
        return name;
    }

    /** Returns the type, of each element in case of a list. */
    public ValueType type() {
        return type;
    }

    /** Returns the meaning, for the docs. */
    public String description() {
        return description;
    }

    /** Tells whether the value is a list. */
    public boolean list() {
        return list;
    }

    /** Returns the default; empty for a required key. */
    public Optional<JsonNode> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /** Returns the fields of a mapping; empty when any are allowed. */
    public Optional<Schema> fields() {
        return Optional.ofNullable(fields);
    }

    /** Returns the range as text for messages and the docs; empty when the type says it all. */
    public String range() {
        if (type == ValueType.WORD) {
            return String.join(", ", words);
        }
        boolean ranged = type == ValueType.TEXT || !type.unit().isEmpty() || type == ValueType.COUNT;
        return ranged ? min + " to " + max : "";
    }

    long min() {
        return min;
    }

    long max() {
        return max;
    }

    List<String> words() {
        return words;
    }
}
