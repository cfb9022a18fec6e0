package io.pollenreach.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * What the advisors of the queues allow in one placement pass, and what the pass requests of them.
 *
 * <p>Units of a queue without an advisor may use all workers. Not thread-safe.
 */
final class AdvisedWorkers {
    private final AdviceCache advice;
    private final long nowMs;

    /** Begins a pass. */
    AdvisedWorkers(AdviceCache advice, long nowMs) {
        this.advice = advice;
        this.nowMs = nowMs;
        advice.beginPass();
    }

    static boolean needsAdvice(Unit unit) {
        return unit.job().job().advised();
    }

    /** Returns the workers on which a unit may be placed, once there are tickets for them. */
    List<WorkerAllocations> withoutRefused(Unit unit, List<WorkerAllocations> workers) {
        if (!needsAdvice(unit)) {
            return workers;
        }
        StepId step = StepId.of(unit.first());
        return workers.stream()
                .filter(w -> !advice.isRefused(step, w.report().instance()))
                .toList();
    }

    /** Returns the workers on which a unit may be placed now. */
    List<WorkerAllocations> withTicket(Unit unit, List<WorkerAllocations> workers) {
        if (!needsAdvice(unit)) {
            return workers;
        }
        StepId step = StepId.of(unit.first());
        return workers.stream().filter(w -> hasTicket(step, w)).toList();
    }

    private boolean hasTicket(StepId step, WorkerAllocations w) {
        Optional<String> ticket = advice.ticket(step, w.report().instance(), nowMs);
        return ticket.isPresent();
    }

    /**
     * Requests tickets for the workers on which a unit would be placed.
     *
     * @param chosen where its tasks would be placed
     * @param others the workers on which they may be placed instead
     * @param untilFitsMs returns the expected time until a task fits on a worker
     * @return whether the workers should be kept free for it
     */
    boolean request(
            Unit unit,
            List<FreeCapacity.Assignment> chosen,
            List<WorkerAllocations> others,
            ToLongFunction<WorkerAllocations> untilFitsMs) {
        List<String> workers =
                chosen.stream().map(a -> a.worker().report().instance()).toList();
        List<String> alternatives = others.stream()
                .filter(w -> unit.spec().occupied().fitsIn(w.report().capacity()))
                .sorted(Comparator.comparingLong(untilFitsMs))
                .map(w -> w.report().instance())
                .toList();
        return advice.request(StepId.of(unit.first()), workers, alternatives, nowMs);
    }
}
