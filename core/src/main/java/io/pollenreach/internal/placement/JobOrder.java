package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Workspace;

/**
 * The order in which waiting jobs are decided: urgency, then the workspace that uses least of its share, then waiting
 * time.
 *
 * <p>The usage of a workspace grows while jobs are placed, so the next job is determined one at a time. Confined to one
 * round, so not safe for use by many threads.
 */
final class JobOrder {
    private static final Comparator<WaitingJob> LONGEST_FIRST = Comparator.comparingInt(
                    (WaitingJob j) -> j.spec().urgency().rank())
            .thenComparing(Comparator.comparingLong(WaitingJob::waitedMs).reversed())
            .thenComparing(j -> j.spec().key());

    private final Map<String, List<WaitingJob>> queues = new LinkedHashMap<>();
    private final Map<String, Workspace> workspaces;
    private final GuaranteeLedger ledger;
    private final Comparator<WaitingJob> order;

    JobOrder(List<WaitingJob> jobs, Map<String, Workspace> workspaces, GuaranteeLedger ledger, boolean fairShare) {
        this.workspaces = workspaces;
        this.ledger = ledger;
        this.order = fairShare ? this::compareFairly : LONGEST_FIRST;
        List<WaitingJob> sorted = new ArrayList<>(jobs);
        sorted.sort(LONGEST_FIRST.reversed());
        for (WaitingJob j : sorted) {
            queues.computeIfAbsent(j.spec().workspace(), k -> new ArrayList<>()).add(j);
        }
    }

    /** Removes and returns the next job; empty when none is left. */
    Optional<WaitingJob> poll() {
        Optional<WaitingJob> next = queues.values().stream()
                .filter(q -> !q.isEmpty())
                .map(q -> q.get(q.size() - 1))
                .min(order);
        next.ifPresent(j -> {
            List<WaitingJob> q = queues.get(j.spec().workspace());
            q.remove(q.size() - 1);
        });
        return next;
    }

    private int compareFairly(WaitingJob a, WaitingJob b) {
        int byUrgency =
                Integer.compare(a.spec().urgency().rank(), b.spec().urgency().rank());
        if (byUrgency != 0) {
            return byUrgency;
        }
        int byShare = Double.compare(usedShare(a), usedShare(b));
        return byShare != 0 ? byShare : LONGEST_FIRST.compare(a, b);
    }

    private double usedShare(WaitingJob j) {
        String name = j.spec().workspace();
        Workspace w = workspaces.get(name);
        int share = w == null ? 1 : Math.max(1, w.share());
        return (double) ledger.used(name) / share;
    }
}
