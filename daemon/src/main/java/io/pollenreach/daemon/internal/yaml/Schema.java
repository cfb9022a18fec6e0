package io.pollenreach.daemon.internal.yaml;

import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.ResultCode;

/**
 * A table of the fields of one mapping, which drives checking, defaults and the docs.
 *
 * <p>Immutable, so safe for use by many threads.
 *
 * @param fields the fields in the order of the docs
 */
public record Schema(List<Field> fields) {
    public Schema {
        fields = List.copyOf(fields);
    }

    /** Returns a table of these fields. */
    public static Schema of(Field... fields) {
        return new Schema(List.of(fields));
    }

    /**
     * Checks a mapping and fills in defaults.
     *
     * @param object what was written; not changed
     * @param prefix the mapping's own path; empty at the top
     * @param faults takes everything that is wrong
     * @return a copy with the defaults filled in; complete only when no fault was added
     */
    public ObjectNode check(ObjectNode object, String prefix, List<Violation> faults) {
        ObjectNode filled = JsonNodeFactory.instance.objectNode();
        for (Field field : fields) {
            String path = join(prefix, field.name());
            JsonNode value = object.get(field.name());
            if (value != null && !value.isNull()) {
                filled.set(field.name(), checkValue(field, value, path, faults));
                continue;
            }
            if (field.defaultValue().isPresent()) {
                filled.set(field.name(), field.defaultValue().get().deepCopy());
                continue;
            }
            faults.add(new Violation(path, ResultCode.MISSING_FIELD, "The key is required: " + field.description()));
        }
        reportUnknown(object, prefix, faults);
        return filled;
    }

    private static JsonNode checkValue(Field field, JsonNode value, String path, List<Violation> faults) {
        if (!field.list()) {
            return checkOne(field, value, path, faults);
        }
        if (!value.isArray()) {
            faults.add(new Violation(path, ResultCode.WRONG_UNIT, "Expected a list."));
            return value;
        }
        ArrayNode filled = JsonNodeFactory.instance.arrayNode();
        for (int i = 0; i < value.size(); i++) {
            filled.add(checkOne(field, value.get(i), path + "[" + i + "]", faults));
        }
        return filled;
    }

    private static JsonNode checkOne(Field field, JsonNode value, String path, List<Violation> faults) {
        Optional<Violation> fault = field.type().check(value, field, path);
        fault.ifPresent(faults::add);
        if (fault.isPresent() || field.fields().isEmpty()) {
            return value;
        }
        return field.fields().get().check((ObjectNode) value, path, faults);
    }

    private void reportUnknown(ObjectNode object, String prefix, List<Violation> faults) {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (fields.stream().noneMatch(f -> f.name().equals(name))) {
                faults.add(new Violation(join(prefix, name), ResultCode.UNKNOWN_FIELD, hint(name)));
            }
        }
    }

    private String hint(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return fields.stream()
                .map(Field::name)
                .filter(f ->
                        f.toLowerCase(Locale.ROOT).startsWith(lower) || lower.startsWith(f.toLowerCase(Locale.ROOT)))
                .findFirst()
                .map(f -> "The key is not known; did you mean " + f + "?")
                .orElseGet(() -> "The key is not known. Known are: "
                        + String.join(", ", fields.stream().map(Field::name).toList()) + ".");
    }

    private static String join(String prefix, String name) {
        return prefix.isEmpty() ? name : prefix + "." + name;
    }
}
