package io.pollenreach.bench.experiment;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Runs every policy over the same workloads, scenarios and seeds.
 *
 * <p>Invariant: the same arguments give the same rows. Not safe for use by many threads.
 */
final class Experiment {
    private final List<PolicyVersion> versions;
    private final List<Demand> demands;
    private final List<Long> seeds;

    Experiment(List<PolicyVersion> versions, List<Demand> demands, List<Long> seeds) {
        this.demands = List.copyOf(demands);
        this.versions = List.copyOf(versions);
        this.seeds = List.copyOf(seeds);
    }

    /** Runs one workload in all scenarios. */
    List<Row> run(String workload) {
        Workload w = Workload.load(workload);
        List<Row> rows = new ArrayList<>();
        for (Scenario s : Scenario.values()) {
            for (Demand d : demands) {
                if (d.meets(s)) {
                    versions.forEach(v -> rows.add(new Row(w.name(), s, d, v, runSeeds(w, s, d, v))));
                }
            }
        }
        return rows;
    }

    private List<Figures> runSeeds(Workload w, Scenario s, Demand d, PolicyVersion v) {
        return seeds.parallelStream().map(seed -> d.run(w, v, seed, s)).collect(Collectors.toList());
    }

    /** Which demand a trial runs. */
    enum Demand {
        REQUESTS {
            @Override
            Figures run(Workload w, PolicyVersion v, long seed, Scenario s) {
                return new RequestTrial(w, v, seed).run(seed, s.lostShare());
            }
        },
        JOBS {
            @Override
            Figures run(Workload w, PolicyVersion v, long seed, Scenario s) {
                return new JobTrial(w, v, seed, s).run();
            }
        };

        private static final Set<Measure> JOBS_ONLY = EnumSet.of(
                Measure.FRAGMENTATION, Measure.GANG_STARVED, Measure.IDLE_WHILE_WAITING, Measure.GANG_WAIT_P99);

        abstract Figures run(Workload w, PolicyVersion v, long seed, Scenario s);

        /** Tells whether this demand feels what the scenario breaks. */
        boolean meets(Scenario s) {
            return this == JOBS || s.failingWorkers() == 0;
        }

        /** Tells whether a measure says something about this demand. */
        boolean measures(Measure m) {
            boolean jobsOnly = JOBS_ONLY.contains(m);
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
