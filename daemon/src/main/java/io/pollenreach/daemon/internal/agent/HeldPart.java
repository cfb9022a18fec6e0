package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.gang.PartKey;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;

/**
 * One part that the agent holds or has held.
 *
 * <p>Invariant: the state only moves forward in the order of {@link PartState}, and an end is final. State and what goes
 * with it change under the lock of the {@link PartTable} that owns the part, and may be read without it; the futures are
 * completed outside of it.
 */
final class HeldPart {
    final PartKey key;
    final int accelerators;
    final String task;
    final long ttlMs;
    /** Completes when the accelerators are free for the part, or with the failure that prevents it. */
    final CompletableFuture<Void> granted = new CompletableFuture<>();
    /** Completes when the part has surely stopped. */
    final CompletableFuture<PartReport> ended = new CompletableFuture<>();

    volatile PartState state = PartState.RESERVED;
    volatile String detail = "";
    /** Whether it waits for others to stop and holds no accelerators yet. */
    volatile boolean waiting;
    /** Whether a task may exist at the runtime. */
    volatile boolean taskMayExist;
    /** Whether an entry must record the end before the part is forgotten. */
    volatile boolean endMustBeRecorded;

    volatile List<Part> gang = List.of();
    volatile CompletableFuture<Void> preparing;
    volatile CompletableFuture<Void> starting;
    volatile long expiresMs;
    volatile long startedMs;
    /** When the last renewal that the runtime confirmed was sent. */
    volatile long confirmedRenewalMs;
    /** When the lease was last possibly renewed. */
    volatile long possibleRenewalMs;
    /** When a stopping task is to be killed. */
    volatile long killAtMs;
    /** When the runtime was last told to kill it. */
    volatile long killSentMs;
    /** Whether the gang's leader knows the end. */
    volatile boolean endReportedToLeader;
    /** The version of the table at the last change. */
    volatile long version;

    HeldPart(PartKey key, int accelerators, long ttlMs) {
        this.key = key;
        this.accelerators = accelerators;
        this.ttlMs = ttlMs;
        this.task = TaskIds.of(key);
    }

    boolean live() {
        return !state.ended();
    }

    /** Tells whether the part runs together with others, so that a leader must allow it. */
    boolean hasPeers() {
        return gang.size() > 1;
    }

    PartReport report() {
        int held = live() && !waiting ? accelerators : 0;
        return new PartReport(key.id(), key.rank(), state, held, detail);
    }
}
