package io.pollenreach.daemon.internal.work;

import java.util.List;

import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.WorkerOutlook;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * What a worker process says of itself.
 *
 * <p>Immutable.
 *
 * @param instance the platform's name of the process
 * @param bornMs when it started, in milliseconds since the Unix epoch; 0 when not told
 * @param sequence rises with each heartbeat of one process
 * @param pool the pool that it belongs to
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param capacity what it has
 * @param labels what steps may require of it
 * @param rack its rack; empty when not told
 * @param outlook what it announces of its near future
 */
public record WorkerInfo(
        String instance,
        long bornMs,
        long sequence,
        String pool,
        String zone,
        boolean draining,
        Resources capacity,
        List<String> labels,
        String rack,
        WorkerOutlook outlook) {
    public WorkerInfo {
        labels = List.copyOf(labels);
    }

    /** Creates what a worker says that announces nothing. */
    public WorkerInfo(
            String instance,
            long bornMs,
            long sequence,
            String pool,
            String zone,
            boolean draining,
            Resources capacity,
            List<String> labels,
            String rack) {
        this(instance, bornMs, sequence, pool, zone, draining, capacity, labels, rack, WorkerOutlook.NONE);
    }

    /** Returns what an earlier process of the agent reported; the next heartbeat tells whether it drains. */
    static WorkerInfo of(WorkerReport r) {
        return new WorkerInfo(
                r.instance(), r.bornMs(), 0, r.pool(), r.zone(), !r.takesTasks(), r.capacity(), r.labels(), r.rack());
    }

    /** Begins a report of the worker, which may hold leases of {@code leaseMs} milliseconds; it names no runs. */
    WorkerReport report(String agent, String incarnation, boolean takesTasks, long sequence, long leaseMs) {
        return new WorkerReport(
                agent,
                incarnation,
                instance,
                bornMs,
                pool,
                capacity,
                labels,
                rack,
                zone,
                takesTasks,
                sequence,
                0,
                List.of(),
                List.of(),
                List.of(),
                false,
                leaseMs,
                outlook);
    }

    /**
     * What a process keeps during its life; another kind of worker, or one of another pool, is another process.
     *
     * <p>Immutable.
     */
    record Description(String pool, String zone, Resources capacity, List<String> labels, String rack) {}

    Description description() {
        return new Description(pool, zone, capacity, labels, rack);
    }

    WorkerInfo withDraining() {
        return new WorkerInfo(instance, bornMs, sequence, pool, zone, true, capacity, labels, rack, outlook);
    }

    /** Returns what the worker would say some milliseconds later. */
    WorkerInfo after(long ms) {
        return new WorkerInfo(
                instance, bornMs, sequence, pool, zone, draining, capacity, labels, rack, outlook.after(ms));
    }

    /** Returns what is left of the worker when its process has ended. */
    WorkerInfo withoutProcess() {
        return new WorkerInfo("", bornMs, 0, pool, zone, true, Resources.NONE, List.of(), "");
    }

    boolean sameProcess(WorkerInfo o) {
        return instance.equals(o.instance) && bornMs == o.bornMs;
    }
}
