package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One pass over everything that waits, most urgent first.
 *
 * <p>Jobs of priority 0 inside their workspace's guarantee come first and reclaim room from less urgent ones; others of
 * priority 0 do so when that undoes little work. What they wait for is claimed, so that nothing less urgent slips into
 * it. For use by one thread.
 */
final class PlacementPass {
    /** A worker that gave no report for this long gets no new tasks, in milliseconds: one more than an idle worker pauses. */
    static final long FRESH_MS = 3_500;

    /** Shortest wait for a place near the data or on one rack before tasks are spread, in milliseconds. */
    static final long MIN_LOCALITY_WAIT_MS = 1_500;

    /** Longest such wait, in milliseconds: estimates are often several times too long. */
    static final long MAX_LOCALITY_WAIT_MS = 4_000;

    /** How long a gang waits before the workers that suit it best take nothing less urgent, in milliseconds. */
    static final long CLAIM_AFTER_MS = 1_500;

    /**
     * Work worth undoing for one urgent task, in milliseconds of a core: by the platform's price list a late urgent job costs
     * about as much as twice that.
     */
    static final double LATE_CORE_MS = 500_000;

    /** How long a task stays away from a worker on which it, or others lately, failed, in milliseconds. */
    static final long AVOID_MS = 2_000;

    /** Tasks of one step that are placed together. Immutable. */
    private record Unit(JobProgress job, List<TaskProgress> tasks, StepSpec spec, boolean guaranteed) {
        int rank() {
            return guaranteed ? -1 : job.job().priority();
        }

        TaskId first() {
            return tasks.get(0).id();
        }
    }

    private final ClusterBook book;
    private final long nowMs;
    private final long wallMs;
    private final Room room;
    private final Set<TaskId> held;

    PlacementPass(ClusterBook book, long nowMs, long wallMs) {
        this.book = book;
        this.nowMs = nowMs;
        this.wallMs = wallMs;
        room = new Room(book.workers(), WorkerBook::free);
        held = book.workers().stream().flatMap(WorkerBook::heldTasks).collect(Collectors.toSet());
    }

    void run() {
        List<Unit> units = units();
        units.sort(Comparator.comparingInt(Unit::rank)
                .thenComparingLong(u -> u.job().sequence())
                .thenComparingInt(u -> u.first().step()));
        for (Unit unit : units) {
            place(unit);
        }
    }

    private List<Unit> units() {
        List<Unit> units = new ArrayList<>();
        Map<String, Integer> urgentNeed = new HashMap<>();
        List<JobProgress> bySequence = new ArrayList<>(book.jobs().values());
        bySequence.sort(Comparator.comparingLong(JobProgress::sequence));
        for (JobProgress job : bySequence) {
            if (job.phase().ended()) {
                continue;
            }
            job.openDue(wallMs, nowMs);
            boolean guaranteed = false;
            if (job.job().priority() == 0) {
                String workspace = job.job().workspace();
                int need = urgentNeed.merge(workspace, job.job().accelerators(), Integer::sum);
                guaranteed = need <= book.guarantee(workspace);
            }
            for (List<TaskProgress> step : job.readySteps()) {
                addUnits(job, step, guaranteed, units);
            }
        }
        return units;
    }

    private void addUnits(JobProgress job, List<TaskProgress> step, boolean guaranteed, List<Unit> units) {
        StepSpec spec = job.spec(step.get(0).id());
        List<TaskProgress> ready = step.stream().filter(this::ready).toList();
        if (spec.gang()) {
            if (ready.size() == step.size()) {
                units.add(new Unit(job, ready, spec, guaranteed));
            }
            return;
        }
        ready.forEach(t -> units.add(new Unit(job, List.of(t), spec, guaranteed)));
    }

    private boolean ready(TaskProgress t) {
        return t.state() == TaskProgress.State.WAITING && !held.contains(t.id());
    }

    private void place(Unit unit) {
        List<WorkerBook> usable = usable(unit);
        Optional<List<Room.Assignment>> fit = near(unit, usable);
        if (fit.isEmpty() && waitedMs(unit) > localityWaitMs(unit)) {
            fit = room.fit(unit.tasks(), unit.spec(), usable, false);
        }
        if (fit.isPresent()) {
            room.take(fit.get(), unit.spec().occupied());
            book.place(unit.job(), fit.get(), nowMs);
            return;
        }
        if (unit.guaranteed() || unit.job().job().priority() == 0) {
            reclaim(unit, usable);
        } else if (unit.spec().gang() && waitedMs(unit) > CLAIM_AFTER_MS) {
            claim(unit, usable);
        }
    }

    private Optional<List<Room.Assignment>> near(Unit unit, List<WorkerBook> usable) {
        Collection<WorkerBook> close = close(unit, usable);
        return room.fit(unit.tasks(), unit.spec(), close, oneRack(unit));
    }

    private static Collection<WorkerBook> close(Unit unit, List<WorkerBook> usable) {
        return unit.spec()
                .rackOfData()
                .<Collection<WorkerBook>>map(r ->
                        usable.stream().filter(w -> w.report().rack().equals(r)).toList())
                .orElse(usable);
    }

    private static boolean oneRack(Unit unit) {
        return unit.spec().gang() && unit.spec().sameRack();
    }

    private long waitedMs(Unit unit) {
        return nowMs - unit.tasks().get(0).waitingSinceMs();
    }

    // Spread tasks take a multiple of their time, so waiting about as long as one run is worth it.
    private static long localityWaitMs(Unit unit) {
        boolean picky = oneRack(unit) || unit.spec().rackOfData().isPresent();
        return picky && !unit.guaranteed()
                ? Math.min(
                        MAX_LOCALITY_WAIT_MS,
                        Math.max(MIN_LOCALITY_WAIT_MS, unit.spec().estimatedMs()))
                : 0;
    }

    private List<WorkerBook> usable(Unit unit) {
        List<WorkerBook> able = book.workers().stream()
                .filter(w -> w.report().pool().equals(unit.job().job().pool()))
                .filter(w -> !w.report().lost() && w.report().takesTasks())
                .filter(w -> nowMs - w.reportedMs() <= FRESH_MS)
                .filter(w -> !w.health().aside(nowMs))
                .filter(w -> w.report().has(unit.spec().requiredLabel()))
                .toList();
        List<WorkerBook> sound = able.stream().filter(w -> !avoided(unit, w)).toList();
        if (sound.size() == able.size() || waitedMs(unit) > AVOID_MS) {
            return able;
        }
        Room empty = new Room(sound, w -> w.report().capacity());
        boolean enough = empty.fit(unit.tasks(), unit.spec(), sound, false).isPresent();
        return enough ? sound : able;
    }

    /** Tells whether a worker may be to blame for a failure that the tasks cannot afford once more. */
    private static boolean avoided(Unit unit, WorkerBook w) {
        boolean lastAttempt = unit.tasks().stream()
                .anyMatch(t -> t.failures() + 1 >= unit.job().job().maxAttempts());
        return unit.tasks().stream()
                        .anyMatch(t -> t.failures() > 0 && t.failedOn().equals(w.name()))
                || lastAttempt && w.health().failures() > 0;
    }

    private void reclaim(Unit unit, List<WorkerBook> usable) {
        Reclaim reclaim = new Reclaim(book.jobs(), room, nowMs);
        int priority = unit.job().job().priority();
        Optional<Reclaim.Plan> plan =
                reclaim.find(unit.tasks(), unit.spec(), priority, close(unit, usable), oneRack(unit));
        if (plan.isEmpty()) {
            plan = reclaim.find(unit.tasks(), unit.spec(), priority, usable, false);
        }
        if (plan.isEmpty()) {
            return;
        }
        if (!unit.guaranteed() && plan.get().lostCoreMs() > worthCoreMs(unit)) {
            return;
        }
        for (TaskProgress victim : plan.get().victims()) {
            if (victim.state() == TaskProgress.State.PLACED) {
                book.preempt(victim, unit.first(), nowMs);
            }
        }
        room.take(plan.get().assignments(), unit.spec().occupied());
    }

    /** Returns how much work of others an urgent job beyond its guarantee may undo. */
    private static double worthCoreMs(Unit unit) {
        double own =
                unit.tasks().size() * unit.spec().need().cores() * unit.spec().estimatedMs();
        return Math.max(own, LATE_CORE_MS);
    }

    private void claim(Unit unit, List<WorkerBook> usable) {
        Room whole = new Room(usable, w -> w.report().capacity());
        whole.fit(unit.tasks(), unit.spec(), close(unit, usable), oneRack(unit))
                .ifPresent(a -> room.take(a, unit.spec().occupied()));
    }
}
