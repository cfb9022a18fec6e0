package io.pollenreach.daemon.internal.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.LearnedTimes;
import io.pollenreach.internal.batch.RunObservations;

/**
 * The rows that keep what a leader learned of running times and worker speeds for the next leader.
 *
 * <p>Invariants: rows are written seldom, only if they say something else than before, and only in a transaction that
 * depends on the term; the keys of rows carry the version of their format, so that leaders of other versions neither
 * read nor overwrite them. Confined to the scheduler's thread.
 */
final class LearnedRows {
    /** Shortest time between two writes, in milliseconds. */
    static final long INTERVAL_MS = 5_000;

    /** The start of all keys of the present format. */
    static final String FORMAT = "v1-";

    private static final LearnedTimes NOTHING = new LearnedTimes(List.of(), List.of());
    private static final Events EVENTS = Events.of(LearnedRows.class);

    private final RunObservations observations;
    private final DistributionSummary keys;
    private final DistributionSummary offNominal;
    private final Map<String, LearnedTimes> stored = new HashMap<>();
    /** The keys of rows of the present format that could not be read, until they are overwritten. */
    private final Set<String> unreadable = new HashSet<>();
    /** What the last transaction wrote, until it is known to be stored. */
    private final Map<String, LearnedTimes> written = new HashMap<>();

    private long writtenMs;

    LearnedRows(RunObservations observations, MeterRegistry metrics, long nowMs) {
        this.observations = observations;
        writtenMs = nowMs;
        keys = summary(metrics, "keys", "Keys under which running times are learned");
        offNominal = summary(metrics, "workers.off.nominal", "Workers that count as faster or slower than nominal");
        observations.listen(new Ratios(metrics));
    }

    /** Records how runs compare to their expectations. Safe for use by many threads. */
    private static final class Ratios implements RunObservations.Listener {
        private final DistributionSummary byEstimate;
        private final DistributionSummary byModel;
        private final DistributionSummary cutOff;

        Ratios(MeterRegistry metrics) {
            byEstimate = ratio(metrics, "estimate");
            byModel = ratio(metrics, "model");
            cutOff = DistributionSummary.builder("pollenreach.scheduler.runtime.cutoff")
                    .description(
                            "Times of runs that were cut off later than expected, as multiples of the expected ones")
                    .register(metrics);
        }

        @Override
        public void runObserved(double measuredMs, double estimatedMs, double expectedMs) {
            byEstimate.record(measuredMs / estimatedMs);
            byModel.record(measuredMs / expectedMs);
        }

        @Override
        public void runCutOff(double atLeastMs, double expectedMs) {
            cutOff.record(atLeastMs / expectedMs);
        }
    }

    private static DistributionSummary summary(MeterRegistry metrics, String name, String description) {
        return DistributionSummary.builder("pollenreach.scheduler.learned." + name)
                .description(description)
                .register(metrics);
    }

    private static DistributionSummary ratio(MeterRegistry metrics, String expectedBy) {
        return DistributionSummary.builder("pollenreach.scheduler.runtime.ratio")
                .description("Measured running times as multiples of the expected ones")
                .tag("by", expectedBy)
                .publishPercentiles(0.1, 0.5, 0.9)
                .register(metrics);
    }

    /** Takes over what an earlier leader learned, once the workers are known. */
    void load(Rows rows, long nowMs) {
        int leftOut = 0;
        for (StoredRow row : rows.rows()) {
            if (!row.key().startsWith(FORMAT)) {
                leftOut++;
            } else if (!load(row, nowMs)) {
                leftOut++;
                unreadable.add(row.key());
            }
        }
        EVENTS.info(
                "learned-times-loaded",
                "keys",
                observations.keyCount(),
                "workersOffNominal",
                observations.workersOffNominal(),
                "rows",
                rows.rows().size(),
                "rowsLeftOut",
                leftOut);
    }

    private boolean load(StoredRow row, long nowMs) {
        RowReader.handle(row, () -> RowCodec.fromRow(row, LearnedTimes.class).ifPresent(l -> {
            observations.restore(l, nowMs);
            stored.put(row.key(), l);
        }));
        return stored.containsKey(row.key());
    }

    /** Adds the rows that have to be stored to a transaction that depends on the term. */
    void addTo(Transaction tx, long nowMs) {
        written.clear();
        if (nowMs - writtenMs < INTERVAL_MS) {
            return;
        }
        keys.record(observations.keyCount());
        offNominal.record(observations.workersOffNominal());
        Map<String, LearnedTimes> rows = rows();
        rows.forEach((key, row) -> {
            if (unreadable.contains(key) || !row.like(stored.getOrDefault(key, NOTHING))) {
                tx.write(Tables.LEARNED, key, RowCodec.toValue(row));
                written.put(key, row);
            }
        });
    }

    private Map<String, LearnedTimes> rows() {
        Map<String, LearnedTimes> rows = new HashMap<>();
        // Rows that have nothing to hold any more are emptied, so that the next leader does not take them over.
        unreadable.forEach(key -> rows.put(key, NOTHING));
        stored.keySet().forEach(key -> rows.put(key, NOTHING));
        rows.put(FORMAT + "times", observations.times());
        List<LearnedTimes> speeds = observations.speeds();
        for (int i = 0; i < speeds.size(); i++) {
            rows.put(FORMAT + "speeds-" + i, speeds.get(i));
        }
        return rows;
    }

    /** Records that the last transaction was stored. */
    void committed(long nowMs) {
        if (nowMs - writtenMs >= INTERVAL_MS) {
            writtenMs = nowMs;
        }
        stored.putAll(written);
        unreadable.removeAll(written.keySet());
        written.clear();
    }
}
