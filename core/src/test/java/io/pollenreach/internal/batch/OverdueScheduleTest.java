package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class OverdueScheduleTest {
    /** Occurrences that are due in the test, of one that runs every two seconds since a week ago. */
    private static final int OVERDUE = 302_400;

    private static final int MAX_KEPT_TASKS = 1_000;

    private SchedulerFixture cluster = new SchedulerFixture();

    @BeforeEach
    void startWorkers() {
        cluster.worker("w1", "r1");
    }

    // review/11: all occurrences that were due were created at once, until the scheduler's memory ended
    @Test
    void keepsABoundedNumberOfTasksOfASchedule() {
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 1)).recurring(OVERDUE, 0, 0));
        for (int i = 0; i < 50; i++) {
            cluster.runPass(200);
        }

        assertThat(cluster.state().jobs().get("a").tasks().count()).isLessThan(MAX_KEPT_TASKS);
        assertThat(orderedRuns()).hasSize(8);
    }

    @Test
    void leavesOtherJobsTheirPlace() {
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 1)).recurring(OVERDUE, 0, 0));
        cluster.submit(Jobs.job("b").priority(0).step(Jobs.step(1, 1)));
        cluster.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);

        assertThat(orderedRuns()).contains("b.0.0.0");
    }

    @Test
    void opensTheNextOccurrenceWhileTheFirstStillRuns() {
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 1)).recurring(OVERDUE, 0, 0));
        for (int k = 1; k <= 500; k++) {
            cluster.end("w1", k, "a." + k + ".0.0", 1, EndKind.DONE);
        }

        assertThat(orderedRuns()).hasSize(8).contains("a.0.0.0", "a.507.0.0");
    }

    @Test
    void removesTheRowsOfOccurrencesThatAreDone() {
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 1)).recurring(2_000, 0, 0));
        for (int k = 0; k < 1_000; k++) {
            cluster.end("w1", k + 1, "a." + k + ".0.0", 1, EndKind.DONE);
        }

        assertThat(cluster.progressKeys()).containsExactlyInAnyOrder("a", "a~4");
    }

    /** Ends runs in any order, with take-overs in between: each occurrence runs once, and the job completes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void runsEachOccurrenceOnceAcrossTakeOvers(long seed) {
        Random random = new Random(seed);
        int times = 1 + random.nextInt(600);
        int tasks = 1 + random.nextInt(3);
        cluster.submit(Jobs.job("a")
                .step(Jobs.step(tasks, 1))
                .step(Jobs.after(Jobs.step(1, 1), 0))
                .recurring(times, 0, random.nextInt(3)));
        Set<String> done = new HashSet<>();
        long end = 0;
        while (!cluster.state().jobs().get("a").phase().ended()) {
            List<String> running = orderedRuns();
            assertThat(running).as("something runs after %d ends", done.size()).isNotEmpty();
            String task = running.get(random.nextInt(running.size()));
            assertThat(done.add(task)).as(task).isTrue();
            cluster.end("w1", ++end, task, 1, EndKind.DONE);
            if (random.nextInt(20) == 0) {
                cluster = cluster.successor();
            }
        }

        assertThat(done).hasSize(times * (tasks + 1));
        assertThat(cluster.state().jobs().get("a").phase()).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void restoresOccurrencesOfAnEarlierVersionWhoseRowsDoNotTellWhichAreOpen() {
        cluster.submit(Jobs.job("a").step(Jobs.step(1, 4)).recurring(6, 0, 0));
        cluster.end("w1", 1, "a.0.0.0", 1, EndKind.DONE);
        ProgressRow row = cluster.progress("a");
        List<ProgressRow.TaskRow> tasks = new ArrayList<>(row.tasks());
        tasks.add(new ProgressRow.TaskRow(0, 0, 0, TaskProgress.State.DONE, 1, 0, "", "", 1, 0));
        cluster.replaceProgress("a", new ProgressRow(row.phase(), tasks, row.owner()));
        cluster = cluster.successor();

        assertThat(orderedRuns()).containsExactlyInAnyOrder("a.1.0.0", "a.2.0.0");
        assertThat(cluster.state().jobs().get("a").find(TaskId.of("a.0.0.0"))).isEmpty();
    }

    private List<String> orderedRuns() {
        return cluster.orders("w1").runs().stream()
                .map(r -> r.run().task().toString())
                .toList();
    }
}
