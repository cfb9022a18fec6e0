package io.pollenreach.internal.batch;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts what the order of waiting work came to since the term began.
 *
 * <p>Numbers only grow. Not thread-safe: confined to the scheduler's thread.
 */
public final class OrderCounts {
    private final Map<Timeliness, Long> placed = new EnumMap<>(Timeliness.class);
    private long placedWithoutObjective;
    private long preempted;
    private long preemptionsRefused;
    private long givenUp;

    void recordPlaced(Unit unit, int tasks) {
        if (unit.hasObjective()) {
            placed.merge(unit.timeliness(), (long) tasks, Long::sum);
        } else {
            placedWithoutObjective += tasks;
        }
    }

    void recordPreempted() {
        preempted++;
    }

    void recordPreemptionRefused() {
        preemptionsRefused++;
    }

    void recordGivenUp() {
        givenUp++;
    }

    /** Returns how many tasks of jobs with an objective were placed that could still be in time. */
    public long placedInTime() {
        return placed.getOrDefault(Timeliness.IN_TIME, 0L);
    }

    /** Returns how many tasks were placed that could only be late. */
    public long placedLate() {
        return placed.getOrDefault(Timeliness.LATE, 0L);
    }

    /** Returns how many tasks were placed that were past use. */
    public long placedPastUse() {
        return placed.getOrDefault(Timeliness.PAST_USE, 0L);
    }

    /** Returns how many tasks of jobs without an objective were placed. */
    public long placedWithoutObjective() {
        return placedWithoutObjective;
    }

    /** Returns how many runs were preempted. */
    public long preempted() {
        return preempted;
    }

    /** Returns how often, in all passes, an urgent unit was not allowed to preempt. */
    public long preemptionsRefused() {
        return preemptionsRefused;
    }

    /** Returns how many runs were given up on workers that were about to leave, a gang counted once. */
    public long givenUp() {
        return givenUp;
    }
}
