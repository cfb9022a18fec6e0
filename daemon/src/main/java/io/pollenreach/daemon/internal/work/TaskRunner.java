package io.pollenreach.daemon.internal.work;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * The worker's own interface, which only its agent may call.
 *
 * <p>Makes each call once. Failures are {@link io.pollenreach.PollenreachException}s: {@code PEER_UNREACHABLE} when
 * nothing listens at the worker's address, so that nothing was done and no process of the worker is up, {@code PEER_TIMEOUT} when the order may have been carried out or may yet be, {@code STALE_ATTEMPT}
 * when an agent with a higher fencing token has called, {@code NOT_FOUND} when another process answers at the worker's
 * address. Implementations are safe for use by many threads.
 */
public interface TaskRunner {
    /**
     * Under which authority a call is made.
     *
     * <p>Immutable.
     *
     * @param instance the worker process that is meant; empty for whichever answers
     * @param bornMs when that process started, in milliseconds since the Unix epoch; 0 when not told
     * @param token the fencing token
     */
    record Authority(String instance, long bornMs, long token) {}

    /** What became of an order to start. Immutable. */
    enum StartOutcome {
        /** It runs, by this order or an earlier one. */
        STARTED,
        /** This run ended or was stopped before, and never starts again. */
        OVER,
        /** The lease that came with the order has run out. */
        LEASE_OVER,
        /** The worker has no room. */
        NO_ROOM,
        /** The worker is unwell and has done nothing. */
        UNWELL
    }

    /**
     * What a worker says of its runs.
     *
     * <p>Immutable.
     *
     * @param clockMs the worker's steady clock when it answered, in milliseconds
     * @param running what runs
     * @param ends ends above the number up to which they were acknowledged, rising
     * @param loads the tail latency of each serving run over the last half second, in milliseconds; for other runs the
     *     processor time in use
     */
    record WorkerStatus(long clockMs, List<RunningTask> running, List<RunEnd> ends, Map<TaskRun, Integer> loads) {}

    /** Completes if the process that is meant answers, whatever fencing token it has seen; changes nothing. */
    CompletableFuture<Void> identify(Authority by);

    /** Starts a run; {@code leaseUntilMs} is a time on the worker's clock. */
    CompletableFuture<StartOutcome> start(Authority by, WorkerOrders.OrderedRun run, long leaseUntilMs);

    /** Ends a run, or keeps it from ever starting; completes when the order was taken. */
    CompletableFuture<Void> stop(Authority by, TaskRun run);

    /** Lets a run work at a share of its speed, from 0 to 100. */
    CompletableFuture<Void> pace(Authority by, TaskRun run, int percent);

    /**
     * Extends the lease, acknowledges ends and asks for the runs.
     *
     * @param by the authority
     * @param endsUpTo ends up to this number are stored and may be forgotten
     * @param leaseUntilMs a time on the worker's clock until which it keeps its runs
     * @param waitMs how long the worker may wait for an end before it answers, in milliseconds
     */
    CompletableFuture<WorkerStatus> poll(Authority by, long endsUpTo, OptionalLong leaseUntilMs, long waitMs);
}
