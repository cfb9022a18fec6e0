package io.pollenreach.bench.standin;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Collectors;

import io.pollenreach.Clock;

/**
 * An append-only list of events that holds the newest ones.
 *
 * <p>Invariant: sequence numbers are dense and grow in the order in which the events took effect, because callers
 * append under the lock that guards the effect. Safe for use by many threads; its lock is the innermost one.
 */
final class History {
    private final Clock clock;
    private final int capacity;
    private final ArrayDeque<HistoryEntry> entries = new ArrayDeque<>();
    private long sequence;

    History(Clock clock, int capacity) {
        this.clock = clock;
        this.capacity = capacity;
    }

    synchronized void append(HistoryEvent event) {
        entries.addLast(new HistoryEntry(++sequence, clock.wallMs(), clock.nowMs(), event));
        if (entries.size() > capacity) {
            entries.removeFirst();
        }
    }

    synchronized HistoryPage since(long after) {
        List<HistoryEntry> page =
                entries.stream().filter(e -> e.sequence() > after).collect(Collectors.toList());
        return new HistoryPage(sequence - entries.size(), page);
    }
}
