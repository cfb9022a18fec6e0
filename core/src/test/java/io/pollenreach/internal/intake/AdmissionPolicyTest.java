package io.pollenreach.internal.intake;

import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.JobObjective;
import io.pollenreach.internal.batch.Recurrence;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.intake.AdmissionVerdict.Reason;
import io.pollenreach.internal.intake.BacklogSnapshot.PoolBacklog;
import io.pollenreach.internal.intake.BacklogSnapshot.PriorityBacklog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionPolicyTest {
    private static final Resources WORKER = new Resources(10_000, 10_000, 8);
    /** A job of 1 s is of use for 6 s, so that it may wait for 5 s. */
    private static final JobObjective OBJECTIVE = new JobObjective(1, 1_000);

    private final PublishedBacklog published = new PublishedBacklog();
    private final AdmissionControl control = new AdmissionControl(published, () -> Map.of("lab", 8, "team", 0));

    private static BatchJob job(String id, String workspace, int priority, UnaryOperator<StepSpec.Builder> changes) {
        StepSpec.Builder step =
                StepSpec.builder(1, new Resources(1_000, 1_000, 1)).estimatedMs(1_000);
        List<StepSpec> steps = List.of(changes.apply(step).build());
        return new BatchJob(id, "q", workspace, "pool", priority, 3, "", steps, null, false, OBJECTIVE);
    }

    private static BatchJob job(String id) {
        return job(id, "team", 1, s -> s);
    }

    @BeforeEach
    void letUsualJobsBeSeen() {
        publishWait(0, Map.of());
        for (int i = 0; i < 8; i++) {
            decide(job("usual" + i, "team", 2, s -> s), 0);
        }
        publish(pool(0, 0, Map.of()), Map.of(), -10_000);
    }

    @Test
    void givesAJobWithAShortEstimateTheTimeOfUsualOnes() {
        publishWait(4_900, Map.of("others", Work.of(WORKER, 1_000)));
        BatchJob brief = job("b", "team", 1, s -> s.estimatedMs(1));

        assertThat(decide(brief, 0).reason()).isEqualTo(Reason.IN_TIME);
    }

    @Test
    void refusesNothingForLoadBeforeItKnowsWhatIsUsual() {
        AdmissionControl fresh = new AdmissionControl(published, Map::of);
        publishWait(1e9, Map.of());

        assertThat(fresh.decide(job("a"), 0).verdict().reason()).isEqualTo(Reason.UNKNOWN_CHAIN);
    }

    /** Publishes a wait for room of jobs of priority 1. */
    private void publishWait(double ms, Map<String, Work> waiting) {
        publish(pool(1, ms, waiting), Map.of(), 0);
    }

    private static PoolBacklog pool(int priority, double ms, Map<String, Work> waiting) {
        Map<Integer, PriorityBacklog> work =
                Map.of(priority, new PriorityBacklog(Work.of(WORKER, ms), Work.NONE, waiting));
        return new PoolBacklog("pool", WORKER, WORKER, work);
    }

    private boolean publish(PoolBacklog pool, Map<String, Long> urgent, long nowMs) {
        return published.publish(new BacklogSnapshot(List.of(pool), urgent), nowMs);
    }

    private AdmissionVerdict decide(BatchJob job, long nowMs) {
        return control.decide(job, nowMs).verdict();
    }

    @Test
    void refusesWhatIsSurelyPastUseWithoutATimeToReturn() {
        publishWait(4_900, Map.of("others", Work.of(WORKER, 4_000)));
        assertThat(decide(job("c"), 0).reason()).isEqualTo(Reason.IN_TIME);
        publishWait(7_000, Map.of("others", Work.of(WORKER, 3_000)));
        assertThat(decide(job("a"), 0).reason()).isEqualTo(Reason.IN_TIME);

        publishWait(5_100, Map.of());
        AdmissionVerdict verdict = decide(job("b"), 0);
        assertThat(verdict.reason()).isEqualTo(Reason.PAST_USE);
        assertThat(verdict.retryAfterS()).isEmpty();
    }

    @Test
    void givesAWideStepTheTimeOfItsWaves() {
        publishWait(5_100, Map.of());
        StepSpec wide = StepSpec.builder(4, new Resources(1_000, 1_000, 1))
                .estimatedMs(1_000)
                .build();
        BatchJob job = new BatchJob("w", "q", "team", "pool", 1, 3, "", List.of(wide), null, false, OBJECTIVE);

        // Two waves of 1 s in a pool of 8: of use for 9 s.
        assertThat(decide(job, 0).leftMs()).isEqualTo(7_000);
        assertThat(decide(job("a"), 0).reason()).isEqualTo(Reason.PAST_USE);
    }

    @Test
    void keepsWhatItAdmittedAdmitted() {
        publishWait(0, Map.of());
        decide(job("a"), 0);
        publishWait(60_000, Map.of());

        assertThat(decide(job("a"), 500).reason()).isEqualTo(Reason.ADMITTED_BEFORE);
    }

    @Test
    void countsWhatItAdmittedSinceThePublication() {
        publishWait(0, Map.of());
        int admitted = 0;
        while (!decide(job("a" + admitted), 0).isRefusal()) {
            admitted++;
        }

        // 8 at a time, by the accelerators, for three quarters of 5 s.
        assertThat(admitted).isBetween(29, 31);
    }

    @Test
    void refusesAWorkspaceBeyondItsShareFirstAndAdmitsItOnceItReturns() {
        publishWait(4_000, Map.of("team", Work.of(WORKER, 1_000), "others", Work.of(WORKER, 500)));

        assertThat(decide(job("o", "others", 1, s -> s), 0).reason()).isEqualTo(Reason.IN_TIME);
        AdmissionVerdict verdict = decide(job("a"), 0);
        assertThat(verdict.reason()).isEqualTo(Reason.BEYOND_SHARE);
        assertThat(verdict.retryAfterS()).isPresent();
        assertThat(verdict.retryAfterS().getAsInt()).isBetween(1, 3);

        publishWait(3_800, Map.of("team", Work.of(WORKER, 1_000)));
        assertThat(decide(job("new"), 1_000).reason()).isEqualTo(Reason.BEYOND_SHARE);
        assertThat(decide(job("a"), 1_000).reason()).isEqualTo(Reason.IN_TIME);
    }

    @Test
    void spreadsReturnsOverTheCallers() {
        Work half = Work.of(WORKER, 2_000);
        publishWait(4_000, Map.of("team", half));

        assertThat(java.util.stream.IntStream.range(0, 50)
                        .mapToObj(i -> decide(job("id" + i), 0).retryAfterS().orElse(0))
                        .distinct())
                .hasSizeGreaterThan(1)
                .doesNotContain(0);
    }

    @Test
    void neverRefusesForLoadWhatIsGuaranteedOrLastsOrHasNoObjective() {
        PoolBacklog full = pool(0, 1e9, Map.of());
        publish(full, Map.of("lab", 6L), 0);
        BatchJob guaranteed = job("g", "lab", 0, s -> s);
        BatchJob beyond = job("h", "lab", 0, s -> s);
        StepSpec step = StepSpec.builder(1, Resources.NONE).estimatedMs(1_000).build();
        Recurrence recurrence = new Recurrence(3, 1, 1);
        BatchJob recurring =
                new BatchJob("r", "q", "team", "pool", 1, 3, "", List.of(step), recurrence, false, OBJECTIVE);
        BatchJob withoutObjective = new BatchJob("n", "q", "team", "pool", 1, 3, "", List.of(step), null, false);

        assertThat(decide(guaranteed, 0).reason()).isEqualTo(Reason.GUARANTEED);
        assertThat(decide(job("g2", "lab", 0, s -> s), 0).reason()).isEqualTo(Reason.GUARANTEED);
        assertThat(decide(beyond, 0).reason()).isEqualTo(Reason.PAST_USE);
        assertThat(decide(recurring, 0).reason()).isEqualTo(Reason.UNLIMITED);
        assertThat(decide(job("l", "team", 1, s -> s.longRunning(true)), 0).reason())
                .isEqualTo(Reason.UNLIMITED);
        assertThat(control.decide(withoutObjective, 0).verdict().reason()).isEqualTo(Reason.UNLIMITED);
    }

    @Test
    void refusesATaskThatIsLargerThanAnyWorkerHasBeen() {
        publishWait(0, Map.of());
        BatchJob large = new BatchJob(
                "a",
                "q",
                "team",
                "pool",
                1,
                3,
                "",
                List.of(StepSpec.builder(1, new Resources(1, 1, 9))
                        .estimatedMs(1)
                        .build()),
                null,
                false,
                OBJECTIVE);

        assertThat(decide(large, 0).reason()).isEqualTo(Reason.NEVER_FITS);
    }

    @Test
    void admitsWithoutRecentFigures() {
        assertThat(decide(job("a"), 0).reason()).isEqualTo(Reason.UNKNOWN_BACKLOG);
        publishWait(60_000, Map.of());
        assertThat(decide(job("b"), 2_000).reason()).isEqualTo(Reason.PAST_USE);
        assertThat(decide(job("b"), 2_001).reason()).isEqualTo(Reason.UNKNOWN_BACKLOG);
        publish(new PoolBacklog("other", WORKER, WORKER, Map.of()), Map.of(), 2_001);
        assertThat(decide(job("c"), 2_001).reason()).isEqualTo(Reason.UNKNOWN_BACKLOG);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void admitsWithImpossibleFigures(double ms) {
        assertThat(publish(pool(1, ms, Map.of()), Map.of(), 0)).isFalse();
        assertThat(decide(job("a"), 0).reason()).isEqualTo(Reason.UNKNOWN_BACKLOG);
        PoolBacklog absurd = new PoolBacklog("pool", new Resources(-5, 1, 1), WORKER, Map.of());
        assertThat(publish(absurd, Map.of(), 0)).isFalse();
    }

    private static BatchJob wide(String id, String workspace, int tasks) {
        StepSpec step = StepSpec.builder(tasks, new Resources(1, 1, 0)).build();
        return new BatchJob(id, "q", workspace, "pool", 1, 3, "", List.of(step, step), null, false);
    }

    // review/11: the tasks of one workspace took the memory of the scheduler of all
    @Test
    void refusesJobsWhoseTasksTheSchedulerCannotKeep() {
        published.publish(new BacklogSnapshot(List.of(), Map.of(), 60_000, Map.of("large", 45_000L)), 0);

        AdmissionVerdict refused = decide(wide("a", "large", 10), 0);
        assertThat(refused.reason()).isEqualTo(Reason.TOO_MANY_TASKS);
        assertThat(refused.retryAfterS()).isPresent();
        assertThat(decide(wide("b", "other", 10_000), 0).isRefusal()).isFalse();
        assertThat(decide(wide("c", "other", 10_000), 0).isRefusal()).isTrue();
        assertThat(decide(wide("d", "third", 5_000), 0).isRefusal()).isFalse();
    }

    @Test
    void refusesAJobThatNoWorkspaceMayHaveWithoutATimeToReturn() {
        published.publish(new BacklogSnapshot(List.of(), Map.of()), 0);
        StepSpec step = StepSpec.builder(10_000, new Resources(1, 1, 0)).build();
        List<StepSpec> six = List.of(step, step, step, step, step, step);
        BatchJob huge = new BatchJob("a", "q", "team", "pool", 1, 3, "", six, null, false);

        assertThat(decide(huge, 0).reason()).isEqualTo(Reason.TOO_MANY_TASKS);
        assertThat(decide(huge, 0).retryAfterS()).isEmpty();
    }
}
