package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.gang.PartKey;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;

/**
 * One part for which the worker's agent holds a reservation or a task, or which has ended there.
 *
 * <p>Invariant: the state only moves forward in the order of {@link PartState}, and an end is final. The mutable
 * fields change under the lock of the {@link PartTable} that owns the part, and may be read without it; the futures are
 * completed outside of it.
 */
final class HeldPart {
    final PartKey key;
    final int accelerators;
    final String task;
    final long ttlMs;
    /** Completes when the accelerators are free for the part, or with the failure that prevents it. */
    final CompletableFuture<Void> granted = new CompletableFuture<>();
    /** Completes when the part has ended, so its task cannot be running any more. */
    final CompletableFuture<PartReport> ended = new CompletableFuture<>();

    volatile PartState state = PartState.RESERVED;
    volatile String detail = "";
    /** Whether the part waits for other parts to stop and holds no accelerators yet. */
    volatile boolean waiting;
    /** Whether a task may exist at the runtime. */
    volatile boolean taskMayExist;
    /** Whether an entry must record the end before the part is forgotten. */
    volatile boolean endMustBeRecorded;

    volatile List<Part> gang = List.of();
    /** Completes when the task is created; null before the part is prepared. */
    volatile CompletableFuture<Void> preparing;
    /** Completes when the task is started; null before the part is released. */
    volatile CompletableFuture<Void> starting;
    /** When a granted reservation expires unless the part is prepared. */
    volatile long expiresMs;

    volatile long startedMs;
    /** When the last renewal that the runtime confirmed was sent. */
    volatile long confirmedRenewalMs;
    /** The latest time at which the runtime may have renewed the lease. */
    volatile long possibleRenewalMs;
    /** When the task is killed if it is still stopping. */
    volatile long killAtMs;
    /** When the last kill was sent to the runtime; 0 before the first. */
    volatile long killSentMs;
    /** Whether the end of the part has been reported to the gang's leader. */
    volatile boolean endReportedToLeader;
    /** The version of the {@link PartTable} at the last change of this part. */
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

    /** Tells whether the gang has other parts, so that this one needs permission of the gang's leader to run. */
    boolean hasPeers() {
        return gang.size() > 1;
    }

    PartReport report() {
        int held = live() && !waiting ? accelerators : 0;
        return new PartReport(key.id(), key.rank(), state, held, detail);
    }
}
