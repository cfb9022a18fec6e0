package io.pollenreach.internal.batch;

/**
 * One worker of a pool and a unit that waits for a worker of that pool.
 *
 * <p>Confined to the scheduler's thread, like what it refers to.
 *
 * @param worker the worker
 * @param unit the unit
 * @param eligible whether the unit may use the worker at all
 * @param evacuated whether the worker's zone is under evacuation
 * @param advised whether the advisor of the unit's queue, if there is one, allows the worker
 * @param awayFromData whether the unit must still use the rack of its data, and the worker is on another
 * @param nowMs the time
 */
record PoolWorker(
        WorkerAllocations worker,
        Unit unit,
        boolean eligible,
        boolean evacuated,
        boolean advised,
        boolean awayFromData,
        long nowMs) {
    Resources need() {
        return unit.spec().occupied();
    }

    long reportAgeMs() {
        return nowMs - worker.reportedMs();
    }
}
