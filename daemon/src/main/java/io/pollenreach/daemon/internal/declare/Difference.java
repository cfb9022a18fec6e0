package io.pollenreach.daemon.internal.declare;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One field in which a live resource and its declaration differ.
 *
 * <p>Immutable by convention: nobody changes the nodes.
 *
 * @param path the field, such as {@code spec.share}
 * @param live the value in force; a missing node when there is none
 * @param wanted the declared value; a missing node when there is none
 */
public record Difference(String path, JsonNode live, JsonNode wanted) {
    /** Lists the differences between two values. */
    public static List<Difference> between(String path, JsonNode live, JsonNode wanted) {
        List<Difference> found = new ArrayList<>();
        compare(path, live, wanted, found);
        return found;
    }

    private static void compare(String path, JsonNode live, JsonNode wanted, List<Difference> found) {
        if (same(live, wanted)) {
            return;
        }
        if (live.isObject() && wanted.isObject()) {
            TreeSet<String> names = new TreeSet<>();
            live.fieldNames().forEachRemaining(names::add);
            wanted.fieldNames().forEachRemaining(names::add);
            names.forEach(n -> compare(path + "." + n, live.path(n), wanted.path(n), found));
            return;
        }
        if (live.isArray() && wanted.isArray()) {
            int most = Math.max(live.size(), wanted.size());
            for (int i = 0; i < most; i++) {
                compare(path + "[" + i + "]", live.path(i), wanted.path(i), found);
            }
            return;
        }
        found.add(new Difference(path, live, wanted));
    }

    private static boolean same(JsonNode live, JsonNode wanted) {
        if (live.isIntegralNumber() && wanted.isIntegralNumber()) {
            return live.bigIntegerValue().equals(wanted.bigIntegerValue());
        }
        if (live.isNumber() && wanted.isNumber()) {
            return live.decimalValue().compareTo(wanted.decimalValue()) == 0;
        }
        boolean bothAbsent = (live.isMissingNode() || live.isNull()) && (wanted.isMissingNode() || wanted.isNull());
        return bothAbsent || live.equals(wanted);
    }

    /** Returns the difference on one line for people. */
    public String text() {
        return path + ": " + text(live) + " -> " + text(wanted);
    }

    private static String text(JsonNode node) {
        return node.isMissingNode() ? "(none)" : node.toString();
    }
}
