package io.pollenreach.daemon.internal.work;

import java.util.List;

import io.pollenreach.internal.batch.Resources;

/**
 * What a worker process says of itself.
 *
 * <p>Immutable.
 *
 * @param instance the platform's name of the process
 * @param bornMs when it started, in milliseconds since the Unix epoch; 0 when not told
 * @param sequence rises with each announcement of one process
 * @param pool the pool that it belongs to
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param capacity what it has
 * @param labels what steps may require of it
 * @param rack its rack; empty when not told
 */
public record RunnerFacts(
        String instance,
        long bornMs,
        long sequence,
        String pool,
        String zone,
        boolean draining,
        Resources capacity,
        List<String> labels,
        String rack) {
    public RunnerFacts {
        labels = List.copyOf(labels);
    }

    boolean sameProcess(RunnerFacts o) {
        return instance.equals(o.instance) && bornMs == o.bornMs;
    }
}
