package io.pollenreach.bench.standin;

import java.util.List;

/**
 * A part of a history.
 *
 * <p>Immutable.
 *
 * @param dropped how many of the oldest events are no longer held; a checker needs 0
 * @param entries the events in order
 */
public record HistoryPage(long dropped, List<HistoryEntry> entries) {
    public HistoryPage {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
