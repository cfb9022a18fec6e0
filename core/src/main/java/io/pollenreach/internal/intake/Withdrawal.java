package io.pollenreach.internal.intake;

import java.util.ArrayList;
import java.util.List;

import io.pollenreach.internal.batch.JobOwner;

/**
 * A stored row of an id whose job was cancelled before it was stored.
 *
 * <p>The store may carry out the write of a job seconds after the call that sent it has ended. So a job is written on the
 * condition that this row is the one that its call has seen, and a cancellation that finds no job changes this row.
 * Immutable.
 *
 * @param callers who cancelled the id; a caller does not keep out the jobs of others
 */
public record Withdrawal(List<JobOwner> callers) {
    /** The withdrawal of an id that nobody cancelled. */
    public static final Withdrawal NONE = new Withdrawal(List.of());

    public Withdrawal {
        callers = callers == null ? List.of() : List.copyOf(callers);
    }

    /** Tells whether a job of an owner must not be stored. */
    public boolean appliesTo(JobOwner owner) {
        return callers.stream().anyMatch(owner::admits);
    }

    /** Tells whether a caller has cancelled the id. */
    public boolean isBy(JobOwner caller) {
        return callers.contains(caller);
    }

    /** Returns the same withdrawal with one more caller. */
    public Withdrawal with(JobOwner caller) {
        List<JobOwner> all = new ArrayList<>(callers);
        all.add(caller);
        return new Withdrawal(all);
    }
}
