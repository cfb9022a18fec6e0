package io.pollenreach.daemon.internal.yaml;

import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One document of a YAML file.
 *
 * <p>Immutable by convention: nobody changes the nodes.
 *
 * @param file the file as the caller named it
 * @param root the content
 * @param firstLine the line at which the document starts, from 1
 * @param lines the line of each path
 */
public record Document(String file, ObjectNode root, int firstLine, Map<String, Integer> lines) {
    public Document {
        lines = Map.copyOf(lines);
    }

    /** Places a fault at its line; a missing value stands at the line of what should hold it. */
    public Problem locate(Violation fault) {
        return new Problem(file, line(fault.path()), fault);
    }

    private int line(String path) {
        String at = path;
        while (!at.isEmpty()) {
            Integer line = lines.get(at);
            if (line != null) {
                return line;
            }
            at = at.substring(0, Math.max(0, Math.max(at.lastIndexOf('.'), at.lastIndexOf('['))));
        }
        return firstLine;
    }
}
