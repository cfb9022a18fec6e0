package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects, slot by slot, the workers for the tasks of one urgent step and the runs to preempt there.
 *
 * <p>Answers the load of urgent jobs on full workers, where whole workers were once emptied for a task that needed a part
 * of one. Each slot goes where it costs the least work in addition to what is lost already; a gang that is stopped frees
 * all its members' capacity and is counted once. Not thread-safe.
 */
final class VictimSelection {
    /** A place for one more task on a worker, after some runs there are preempted. Immutable. */
    private record Slot(
            WorkerAllocations worker, List<TaskProgress> victims, double lostCoreMs, int failures, int speedRank) {
        boolean isBetterThan(Slot other) {
            if (other == null) {
                return true;
            }
            int byCost = Double.compare(lostCoreMs, other.lostCoreMs);
            int order = byCost != 0 ? byCost : Integer.compare(failures, other.failures);
            return order < 0 || order == 0 && speedRank > other.speedRank;
        }
    }

    private final Reclaim reclaim;
    private final StepSpec spec;
    private final Resources need;
    private final Reclaim.Target target;
    private final List<WorkerAllocations> group;
    private final TaskId anyTask;
    private final Set<TaskProgress> victims = new LinkedHashSet<>();
    private final Map<WorkerAllocations, Resources> available = new HashMap<>();
    private final Map<WorkerAllocations, Integer> taken = new HashMap<>();
    private final Map<WorkerAllocations, Optional<Slot>> slots = new HashMap<>();
    private double lostCoreMs;

    VictimSelection(
            Reclaim reclaim, StepSpec spec, Reclaim.Target target, List<WorkerAllocations> group, TaskId anyTask) {
        this.reclaim = reclaim;
        this.spec = spec;
        need = spec.occupied();
        this.target = target;
        this.group = group;
        this.anyTask = anyTask;
        group.forEach(w -> available.put(w, reclaim.available(w)));
    }

    /** Takes the slot that costs the least additional work; returns its worker, or nothing if there is no slot. */
    Optional<WorkerAllocations> takeCheapestSlot() {
        Slot best = null;
        for (WorkerAllocations w : group) {
            Slot slot = slots.computeIfAbsent(w, this::findSlot).orElse(null);
            if (slot != null && slot.isBetterThan(best)) {
                best = slot;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        take(best);
        return Optional.of(best.worker());
    }

    List<TaskProgress> victims() {
        return List.copyOf(victims);
    }

    double lostCoreMs() {
        return lostCoreMs;
    }

    private void take(Slot slot) {
        lostCoreMs += slot.lostCoreMs();
        taken.merge(slot.worker(), 1, Integer::sum);
        available.computeIfPresent(slot.worker(), (w, a) -> a.minus(need));
        slots.remove(slot.worker());
        for (TaskProgress victim : slot.victims()) {
            boolean gang = reclaim.spec(victim).gang();
            stop(gang ? reclaim.step(victim) : List.of(victim));
            if (gang || reclaim.spec(victim).maxUnavailable() > 0 || target.scope() == VictimScope.BORROWED) {
                // Other slots may cost less now, or may no longer be allowed.
                slots.clear();
            }
        }
    }

    private void stop(Collection<TaskProgress> tasks) {
        for (TaskProgress t : tasks) {
            if (t.state() == TaskProgress.State.PLACED && victims.add(t)) {
                Resources freed = reclaim.spec(t).occupied();
                group.stream()
                        .filter(w -> w.name().equals(t.worker()))
                        .forEach(w -> available.computeIfPresent(w, (x, a) -> a.plus(freed)));
            }
        }
    }

    private Optional<Slot> findSlot(WorkerAllocations w) {
        int count = w.countOfStep(anyTask) + taken.getOrDefault(w, 0);
        if (spec.maxPerWorker() > 0 && count >= spec.maxPerWorker()) {
            return Optional.empty();
        }
        Resources room = available.get(w);
        List<TaskProgress> selected = new ArrayList<>();
        for (TaskProgress t : reclaim.preemptible(w, target)) {
            if (need.fitsIn(room)) {
                break;
            }
            if (!victims.contains(t) && isInterruptible(t, selected)) {
                selected.add(t);
                room = room.plus(reclaim.spec(t).occupied());
            }
        }
        if (!need.fitsIn(room)) {
            return Optional.empty();
        }
        // An expensive task that was selected last may free enough without the cheaper ones, or they without it.
        for (int i = selected.size() - 1; i >= 0; i--) {
            Resources without = room.minus(reclaim.spec(selected.get(i)).occupied());
            if (need.fitsIn(without)) {
                selected.remove(i);
                room = without;
            }
        }
        return Optional.of(new Slot(w, selected, lostBy(selected), w.health().failures(), reclaim.speedRank(w)));
    }

    private boolean isInterruptible(TaskProgress t, List<TaskProgress> selected) {
        boolean limited = reclaim.spec(t).maxUnavailable() > 0;
        boolean lent = target.scope() == VictimScope.BORROWED;
        if (!limited && !lent) {
            return true;
        }
        Set<TaskProgress> all = new LinkedHashSet<>(victims);
        all.addAll(selected);
        return reclaim.isInterruptible(t, all) && (!lent || reclaim.isWithinBorrowed(t, all));
    }

    private double lostBy(List<TaskProgress> selected) {
        Set<StepId> gangs = new LinkedHashSet<>();
        double lost = 0;
        for (TaskProgress t : selected) {
            if (!reclaim.spec(t).gang() || gangs.add(StepId.of(t.id()))) {
                lost += reclaim.lostCoreMs(t);
            }
        }
        return lost;
    }
}
