package io.pollenreach.daemon.internal.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.internal.json.Json;

/**
 * The whole configuration as of one revision of the table {@code config}.
 *
 * <p>Immutable. Invariant: the rows are exactly those that the table held at {@code version}. A workspace whose
 * row cannot be read keeps the form in which this process last read it, and is left out if it never did.
 */
final class ConfigSnapshot {
    static final String TABLE = "config";
    static final String WORKSPACE = "workspace/";
    static final String POLICY = "policy/";
    static final String DRAIN = "drain/";
    /** A row that every change of guarantees rewrites, so that two changes can't both miss each other. */
    static final String GUARANTEES = "guarantees";

    static final ConfigSnapshot EMPTY = new ConfigSnapshot(0, Map.of(), Map.of());

    private static final Events EVENTS = Events.of(ConfigSnapshot.class);

    private final long version;
    private final Map<String, ConfigRow> rows;
    private final Map<String, Workspace> workspaces;

    /**
     * One row.
     *
     * @param version the row's version
     * @param revision the configuration version that brought it
     * @param value the content
     */
    record ConfigRow(long version, long revision, JsonNode value) {}

    private ConfigSnapshot(long version, Map<String, ConfigRow> rows, Map<String, Workspace> lastReadable) {
        this.version = version;
        this.rows = Map.copyOf(rows);
        Map<String, Workspace> all = new HashMap<>();
        rows.forEach((key, row) -> {
            if (key.startsWith(WORKSPACE)) {
                String name = key.substring(WORKSPACE.length());
                read(name, row)
                        .or(() -> Optional.ofNullable(lastReadable.get(name)))
                        .ifPresent(w -> all.put(name, w));
            }
        });
        this.workspaces = Map.copyOf(all);
    }

    private static Optional<Workspace> read(String name, ConfigRow row) {
        try {
            Optional<Workspace> read = Optional.ofNullable(row.value())
                    .map(v -> Json.lenient().convertValue(v, Workspace.class))
                    .filter(w -> name.equals(w.name()));
            if (read.isEmpty()) {
                logUnreadable(name, row, "it does not declare this workspace");
            }
            return read;
        } catch (IllegalArgumentException e) {
            logUnreadable(name, row, e.getMessage());
            return Optional.empty();
        }
    }

    private static void logUnreadable(String name, ConfigRow row, String why) {
        EVENTS.warn("row-unreadable", "table", TABLE, "key", WORKSPACE + name, "version", row.version(), "why", why);
    }

    /** Returns the table's revision, which is the configuration version. */
    long version() {
        return version;
    }

    Map<String, Workspace> workspaces() {
        return workspaces;
    }

    Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    Optional<ConfigRow> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    /** Returns the rows whose keys start with a prefix, by key. */
    Map<String, ConfigRow> rows(String prefix) {
        return rows.entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Returns the ids of targets that are declared to drain. */
    Set<String> draining() {
        return rows(DRAIN).keySet().stream()
                .map(k -> k.substring(DRAIN.length()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Applies rows that were read with {@code since} not above this version; an older list changes nothing. */
    ConfigSnapshot apply(RowList list) {
        if (list.revision() <= version) {
            return this;
        }
        Map<String, ConfigRow> next = new HashMap<>(rows);
        for (Row r : list.rows()) {
            if (r.deleted()) {
                next.remove(r.key());
            } else {
                next.put(r.key(), new ConfigRow(r.version(), r.revision(), r.value()));
            }
        }
        return new ConfigSnapshot(list.revision(), next, workspaces);
    }

    /** Writes the snapshot for a peer. */
    JsonNode toJson() {
        ObjectNode all = Json.lenient().createObjectNode();
        rows.forEach((k, r) -> {
            ObjectNode node = all.putObject(k);
            node.put("version", r.version());
            node.put("revision", r.revision());
            node.set("value", r.value());
        });
        return all;
    }

    /** Reads a snapshot that a peer wrote. */
    static ConfigSnapshot fromJson(long version, JsonNode all) {
        Map<String, ConfigRow> rows = new HashMap<>();
        all.fields()
                .forEachRemaining(e -> rows.put(
                        e.getKey(),
                        new ConfigRow(
                                e.getValue().path("version").asLong(),
                                e.getValue().path("revision").asLong(),
                                e.getValue().path("value"))));
        return new ConfigSnapshot(version, rows, Map.of());
    }
}
