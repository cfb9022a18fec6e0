package io.pollenreach.internal.wire;

import java.util.Objects;

/**
 * One attempt at running a job.
 *
 * <p>Attempts of a job are numbered from 1 and at most one is alive. Two entries that race for the same number differ
 * in the nonce. Immutable.
 *
 * @param job the job's key, {@code workspace/name}
 * @param attempt the attempt's number
 * @param nonce random text that names the placement that claimed the number
 */
public record AttemptId(String job, int attempt, String nonce) {
    public AttemptId {
        Objects.requireNonNull(job, "job");
    }
}
