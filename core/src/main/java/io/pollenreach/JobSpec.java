package io.pollenreach;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * What a caller declares about a job.
 *
 * <p>Immutable. Names are checked where the declaration enters the system.
 *
 * @param workspace the workspace that owns the job
 * @param name the job's name, unique within the workspace
 * @param shape the accelerators that it needs together
 * @param urgency how soon it is owed its start
 * @param declaredMs the run time that the caller expects, in milliseconds; not trusted, 0 when unknown
 * @param restartable whether the job may run again after it lost a worker or was reclaimed
 * @param maxAttempts how many attempts may be lost to failures, 1 to 100; reclaims do not count
 * @param command the argument for the worker's runtime; opaque here
 */
public record JobSpec(
        String workspace,
        String name,
        Shape shape,
        Urgency urgency,
        long declaredMs,
        boolean restartable,
        int maxAttempts,
        String command) {
    /** Returns the key of the job's row: workspace, slash, name. */
    @JsonIgnore
    public String key() {
        return workspace + "/" + name;
    }
}
