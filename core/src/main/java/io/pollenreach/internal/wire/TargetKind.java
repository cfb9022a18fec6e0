package io.pollenreach.internal.wire;

/** What a target serves: workers run parts of jobs, runners answer requests. Immutable. */
public enum TargetKind {
    WORKER,
    RUNNER
}
