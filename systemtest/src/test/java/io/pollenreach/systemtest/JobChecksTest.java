package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.pollenreach.Adjacency;
import io.pollenreach.JobSpec;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryEvent;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.jobs.StopReason;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Sees each check pass on a good history and fail on a bad one. */
class JobChecksTest {
    private static final String JOB = "shop-a/cut";
    private static final long SKEW_MS = 100;

    private final List<HistoryEntry> history = new ArrayList<>();

    @Test
    void gangThatRunsTogetherPasses() {
        task("w1", 1, 0, 0, 1_000, "SUCCEEDED");
        task("w2", 1, 1, 50, 3_000, "SUCCEEDED");
        task("w1", 2, 0, 4_000, 5_000, "STOPPED");
        task("w2", 2, 1, 4_020, 5_070, "LAPSED");
        assertThat(gang()).isEmpty();
    }

    @Test
    void gangWithAPartThatStartsLateFails() {
        task("w1", 1, 0, 0, 1_000, "STOPPED");
        task("w2", 1, 1, 200, 1_000, "STOPPED");
        assertThat(gang()).singleElement().satisfies(v -> assertThat(v.subject())
                .isEqualTo(JOB));
    }

    @Test
    void gangWithAPartThatOutlivesAnotherFails() {
        task("w1", 1, 0, 0, 1_000, "STOPPED");
        task("w2", 1, 1, 0, 2_000, "STOPPED");
        assertThat(gang()).hasSize(1);
    }

    @Test
    void gangWithAPartThatNeverRunsFails() {
        task("w1", 1, 0, 0, 1_000, "SUCCEEDED");
        held("w2", 1, 1, 0);
        assertThat(gang()).hasSize(1);
    }

    @Test
    void gangWithAPartThatNeverEndsFails() {
        task("w1", 1, 0, 0, 1_000, "STOPPED");
        held("w2", 1, 1, 0);
        add(0, new HistoryEvent.TaskStarted("w2", "shop-a.cut.1.1", 1));
        assertThat(gang()).hasSize(1);
    }

    @Test
    void attemptsThatOverlapFail() {
        task("w1", 1, 0, 0, 1_000, "STOPPED");
        task("w2", 2, 0, 1_000, 1_500, "STOPPED");
        assertThat(new JobChecks(history).oneAttemptAlive()).isEmpty();
        task("w3", 3, 0, 1_499, 2_000, "STOPPED");
        assertThat(new JobChecks(history).oneAttemptAlive()).hasSize(1);
    }

    @Test
    void laterAttemptFailsWhileTheFirstNeverEnds() {
        held("w1", 1, 0, 0);
        add(0, new HistoryEvent.TaskStarted("w1", "shop-a.cut.1.0", 1));
        task("w2", 2, 0, 9_000, 9_500, "STOPPED");
        assertThat(new JobChecks(history).oneAttemptAlive()).hasSize(1);
    }

    @Test
    void workerThatHoldsTooMuchFails() {
        task("w1", 1, 0, 0, 10, "STOPPED");
        held("w1", 2, 0, 20);
        Map<String, Integer> one = Map.of("w1", 1);
        assertThat(new JobChecks(history).workerWithinCapacity(one)).isEmpty();
        held("w1", 3, 0, 30);
        assertThat(new JobChecks(history).workerWithinCapacity(one)).hasSize(1);
    }

    @Test
    void jobWithoutAnEndFails() {
        JobRecord waiting = JobRecord.submit(spec(), 0);
        row(waiting);
        assertThat(new JobChecks(history).everyJobEnds(List.of(JOB))).hasSize(1);
        row(waiting.cancel(5));
        assertThat(new JobChecks(history).everyJobEnds(List.of(JOB))).isEmpty();
        assertThat(new JobChecks(history).everyJobEnds(List.of("shop-a/lost"))).hasSize(1);
    }

    @Test
    void rowsThatMoveAgainstTheirStatesFail() {
        JobRecord waiting = JobRecord.submit(spec(), 0);
        JobRecord placed = waiting.place(new AttemptId(JOB, 1, "n"), List.of(new Part(0, "w1", "a", 1)), false, "");
        JobRecord stopped = placed.run(1).stop(StopReason.PART_LOST, "").confirmStopped(3);
        List.of(waiting, placed, placed.run(1), placed.run(1).stop(StopReason.PART_LOST, ""), stopped)
                .forEach(this::row);
        assertThat(new JobChecks(history).transitions()).isEmpty();
        row(placed);
        assertThat(new JobChecks(history).transitions()).hasSize(1);
    }

    @Test
    void endedRowThatIsWrittenAgainFails() {
        JobRecord cancelled = JobRecord.submit(spec(), 0).cancel(5);
        row(cancelled);
        row(cancelled);
        assertThat(new JobChecks(history).transitions()).hasSize(1);
    }

    private List<Violation> gang() {
        return new JobChecks(history).gangAllOrNothing(Map.of(JOB, 2), SKEW_MS);
    }

    private static JobSpec spec() {
        return new JobSpec("shop-a", "cut", new Shape(1, 1, Adjacency.ANY), Urgency.NORMAL, 0, true, 3, "sleep:1");
    }

    private void row(JobRecord record) {
        add(0, new HistoryEvent.RowWritten("jobs", JOB, 1, 1, Json.lenient().valueToTree(record)));
    }

    private void task(String worker, int attempt, int rank, long startMs, long endMs, String state) {
        held(worker, attempt, rank, startMs);
        String task = "shop-a.cut." + attempt + "." + rank;
        add(startMs, new HistoryEvent.TaskStarted(worker, task, 1));
        add(endMs, new HistoryEvent.TaskEnded(worker, task, 1, state, true, ""));
    }

    private void held(String worker, int attempt, int rank, long atMs) {
        add(atMs, new HistoryEvent.TaskHeld(worker, "shop-a.cut." + attempt + "." + rank, 1, "hang"));
    }

    private void add(long atMs, HistoryEvent event) {
        history.add(new HistoryEntry(history.size() + 1, atMs, atMs, event));
    }
}
