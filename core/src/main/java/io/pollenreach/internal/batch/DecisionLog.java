package io.pollenreach.internal.batch;

/** Takes one line for each decision that touches a task or changes what the scheduler believes of a worker. */
@FunctionalInterface
public interface DecisionLog {
    /** Notes a decision with its inputs and outcome as pairs of keys and values. */
    void record(String event, Object... keysAndValues);
}
