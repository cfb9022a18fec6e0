package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs every policy over the same workloads, scenarios and seeds.
 *
 * <p>Invariant: the same arguments give the same rows. Not safe for use by many threads.
 */
final class Experiment {
    private final List<PolicyVersion> versions;
    private final List<Long> seeds;

    Experiment(List<PolicyVersion> versions, List<Long> seeds) {
        this.versions = List.copyOf(versions);
        this.seeds = List.copyOf(seeds);
    }

    /** Runs one workload in all scenarios. */
    List<Row> run(String workload) {
        Workload w = Workload.load(workload);
        List<Row> rows = new ArrayList<>();
        for (Scenario s : Scenario.values()) {
            for (Demand d : Demand.values()) {
                for (PolicyVersion v : versions) {
                    List<Figures> figures = new ArrayList<>();
                    seeds.forEach(seed -> figures.add(d.run(w, v, seed, s.lostShare())));
                    rows.add(new Row(w.name(), s, d, v, figures));
                }
            }
        }
        return rows;
    }

    /** What fails during a trial. */
    enum Scenario {
        WHOLE(0),
        LOST(0.3);

        private final double lostShare;

        Scenario(double lostShare) {
            this.lostShare = lostShare;
        }

        /** Returns the share of runners or workers that fail when the first crest starts. */
        double lostShare() {
            return lostShare;
        }
    }

    /** Which demand a trial runs. */
    enum Demand {
        REQUESTS {
            @Override
            Figures run(Workload w, PolicyVersion v, long seed, double lostShare) {
                return new RequestTrial(w, v, seed).run(seed, lostShare);
            }
        },
        JOBS {
            @Override
            Figures run(Workload w, PolicyVersion v, long seed, double lostShare) {
                return new JobTrial(w, v, seed).run(lostShare);
            }
        };

        abstract Figures run(Workload w, PolicyVersion v, long seed, double lostShare);

        /** Tells whether a measure says something about this demand. */
        boolean measures(Measure m) {
            boolean jobsOnly =
                    m == Measure.FRAGMENTATION || m == Measure.IDLE_WHILE_WAITING || m == Measure.GANG_WAIT_P99;
            return this == JOBS || !jobsOnly;
        }
    }

    /**
     * The figures of one policy, one for each seed.
     *
     * @param workload the deployment's name
     * @param scenario what failed
     * @param demand which demand was run
     * @param version the policy
     * @param figures the figures by seed
     */
    record Row(String workload, Scenario scenario, Demand demand, PolicyVersion version, List<Figures> figures) {
        double mean(Measure m) {
            return figures.stream().mapToDouble(f -> f.value(m)).average().orElse(0);
        }

        double min(Measure m) {
            return figures.stream().mapToDouble(f -> f.value(m)).min().orElse(0);
        }

        double max(Measure m) {
            return figures.stream().mapToDouble(f -> f.value(m)).max().orElse(0);
        }
    }
}
