package io.pollenreach.daemon.internal.scheduler;

import java.util.List;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.batch.SpeedCounts;

/**
 * Runs placement passes and measures them: their time, the workers they examine, and the speeds they reckon with.
 *
 * <p>Not thread-safe: confined to the scheduler's thread.
 */
final class PassMetrics {
    private final Timer timer;
    private final Counter workersExamined;
    private final MultiGauge workersBySpeed;
    private SpeedCounts published = new SpeedCounts(0, 0, 0);

    PassMetrics(MeterRegistry metrics) {
        timer = Timer.builder("pollenreach.scheduler.pass")
                .description("Time of a placement pass")
                .register(metrics);
        workersExamined = metrics.counter("pollenreach.scheduler.workers.examined");
        workersBySpeed = MultiGauge.builder("pollenreach.scheduler.workers.by.speed")
                .description("Workers whose speed class differs from the nominal speed, as of the last pass")
                .register(metrics);
        publish();
    }

    void runPass(SchedulerState state, long nowMs, long wallMs) {
        long examinedBefore = state.workersExamined();
        timer.record(() -> state.plan(nowMs, wallMs));
        workersExamined.increment(state.workersExamined() - examinedBefore);
        SpeedCounts counts = state.workersBySpeed();
        if (!counts.equals(published)) {
            published = counts;
            publish();
        }
    }

    private void publish() {
        workersBySpeed.register(
                List.of(
                        row("slower", published.slower()),
                        row("faster", published.faster()),
                        row("impaired", published.impaired())),
                true);
    }

    private static MultiGauge.Row<Number> row(String speed, int workers) {
        return MultiGauge.Row.of(Tags.of("speed", speed), workers);
    }
}
