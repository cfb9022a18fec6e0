package io.pollenreach.daemon.internal.work;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.pollenreach.Clock;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;

/** A worker that starts whatever it is told and answers each poll after a while. */
final class FakeWorker implements TaskRunner {
    private static final long POLL_MS = 20;

    final Queue<TaskRun> started = new ConcurrentLinkedQueue<>();
    final Queue<TaskRun> stopped = new ConcurrentLinkedQueue<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger mostInFlight = new AtomicInteger();
    private volatile long orderMs;

    /** Answers orders after a while. */
    void delayOrders(long ms) {
        orderMs = ms;
    }

    /** Returns how many orders were in flight at the same time, at most. */
    int mostOrdersInFlight() {
        return mostInFlight.get();
    }

    private <T> CompletableFuture<T> answer(T outcome) {
        mostInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
        if (orderMs == 0) {
            inFlight.decrementAndGet();
            return CompletableFuture.completedFuture(outcome);
        }
        return CompletableFuture.supplyAsync(
                () -> {
                    inFlight.decrementAndGet();
                    return outcome;
                },
                CompletableFuture.delayedExecutor(orderMs, TimeUnit.MILLISECONDS));
    }

    @Override
    public CompletableFuture<Void> identify(Authority by) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<StartOutcome> start(Authority by, WorkerOrders.OrderedRun run, long leaseUntilMs) {
        started.add(run.run());
        return answer(StartOutcome.STARTED);
    }

    @Override
    public CompletableFuture<Void> stop(Authority by, TaskRun run) {
        stopped.add(run);
        return answer(null);
    }

    @Override
    public CompletableFuture<Void> pace(Authority by, TaskRun run, int percent) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<WorkerStatus> poll(Authority by, long endsUpTo, OptionalLong leaseUntilMs, long waitMs) {
        return CompletableFuture.supplyAsync(
                this::status, CompletableFuture.delayedExecutor(POLL_MS, TimeUnit.MILLISECONDS));
    }

    private WorkerStatus status() {
        List<RunningTask> running = started.stream()
                .filter(r -> !stopped.contains(r))
                .map(r -> new RunningTask(r, "", 50))
                .toList();
        return new WorkerStatus(Clock.system().nowMs(), running, List.of(), Map.of());
    }
}
