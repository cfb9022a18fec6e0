package io.pollenreach.daemon.internal.agent;

import java.util.List;

import io.pollenreach.internal.wire.PartReport;

/**
 * The reports of parts that a heartbeat carries.
 *
 * <p>Immutable.
 *
 * @param parts one report for each part
 * @param version the version of the {@link PartTable} at which the reports were made
 */
record PartChanges(List<PartReport> parts, long version) {
    static final PartChanges NONE = new PartChanges(List.of(), 0);

    PartChanges {
        parts = List.copyOf(parts);
    }
}
