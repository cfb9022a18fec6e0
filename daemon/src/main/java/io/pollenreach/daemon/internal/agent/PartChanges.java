package io.pollenreach.daemon.internal.agent;

import java.util.List;

import io.pollenreach.internal.wire.PartReport;

/**
 * Parts that a heartbeat reports.
 *
 * <p>Immutable.
 *
 * @param parts the reports
 * @param version the version of the table that they show
 */
record PartChanges(List<PartReport> parts, long version) {
    static final PartChanges NONE = new PartChanges(List.of(), 0);

    PartChanges {
        parts = List.copyOf(parts);
    }
}
