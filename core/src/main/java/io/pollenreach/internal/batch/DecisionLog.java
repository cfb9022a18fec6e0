package io.pollenreach.internal.batch;

/** Receives each decision that affects a task or changes the scheduler's view of a worker. */
@FunctionalInterface
public interface DecisionLog {
    /** Records a decision with its inputs and outcome as pairs of keys and values. */
    void logDecision(String event, Object... keysAndValues);
}
