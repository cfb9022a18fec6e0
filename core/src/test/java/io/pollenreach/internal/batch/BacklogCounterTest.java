package io.pollenreach.internal.batch;

import java.io.IOException;
import java.util.Map;

import io.pollenreach.internal.intake.BacklogSnapshot;
import io.pollenreach.internal.json.Json;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What the leader publishes of the work that waits or runs. */
class BacklogCounterTest {
    private final SchedulerFixture fixture = new SchedulerFixture();

    @BeforeEach
    void addUnevenWorkers() {
        fixture.addUnevenWorkers();
    }

    @Test
    void countsNothingWhereWorkersAreAlike() {
        SchedulerFixture alike = new SchedulerFixture();
        alike.worker("w1", "r1");
        alike.submit(Jobs.job("j").step(Jobs.step(1, 8)));

        assertThat(new BacklogCounter(alike.state()).count(0, 0).pools()).isEmpty();
    }

    @Test
    void countsTheTasksOfEachWorkspace() throws IOException {
        SchedulerFixture alike = new SchedulerFixture();
        alike.worker("w1", "r1");
        alike.submit(Jobs.job("a").step(Jobs.step(3, 8)));
        alike.submit(Jobs.job("b").workspace("others").step(Jobs.step(1, 8)).step(Jobs.after(Jobs.step(4, 8), 0)));

        BacklogSnapshot backlog = count(alike);
        assertThat(backlog.tasks()).isEqualTo(8);
        assertThat(backlog.tasksByWorkspace()).isEqualTo(Map.of("team", 3L, "others", 5L));
    }

    private static BacklogSnapshot count(SchedulerFixture scheduler) throws IOException {
        BacklogSnapshot counted = new BacklogCounter(scheduler.state())
                .count(scheduler.nowMs(), SchedulerFixture.WALL_MS + scheduler.nowMs());
        assertThat(counted.isValid()).isTrue();
        BacklogSnapshot read =
                Json.lenient().readValue(Json.lenient().writeValueAsBytes(counted), BacklogSnapshot.class);
        assertThat(read).isEqualTo(counted);
        return read;
    }

    private static double acceleratorMs(BacklogSnapshot backlog, int priority) {
        return backlog.pool("pool").orElseThrow().drainMs(priority) * 8;
    }

    @Test
    void countsWhatWaitsAndRunsAtAPriorityAndMoreUrgentOnes() throws IOException {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").priority(1).step(Jobs.step(12, 1)).step(Jobs.after(Jobs.step(1, 2), 0)));
        fixture.submit(Jobs.job("b").priority(2).workspace("others").step(Jobs.step(3, 1)));
        fixture.submit(Jobs.job("c").priority(2).recurring(5, 1, 1).step(Jobs.step(3, 1)));
        fixture.submit(Jobs.job("d").priority(2).step(Jobs.step(3, 1)));
        fixture.cancel("d");

        BacklogSnapshot backlog = count(fixture);

        assertThat(acceleratorMs(backlog, 0)).isZero();
        assertThat(acceleratorMs(backlog, 1)).isEqualTo(14_000);
        assertThat(acceleratorMs(backlog, 2)).isEqualTo(17_000);
        BacklogSnapshot.PoolBacklog pool = backlog.pool("pool").orElseThrow();
        assertThat(pool.capacity()).isEqualTo(new Resources(32_000, 64_000, 8));
        assertThat(pool.byPriority().get(1).waitingByWorkspace().get("team").acceleratorMs())
                .isEqualTo(6_000);
        assertThat(pool.byPriority().get(2).waitingByWorkspace().get("others").acceleratorMs())
                .isEqualTo(3_000);
    }

    // Work that can no longer be in time goes after new jobs of its priority, and what is past use after all jobs.
    @Test
    void countsWhatIsLateOnlyForLessUrgentJobsAndLeavesOutWhatIsPastUse() throws IOException {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("running").priority(0).step(Jobs.step(8, 1)));
        fixture.submit(Jobs.job("a").priority(1).objective(1, 2_000).step(Jobs.step(1, 8)));
        assertThat(acceleratorMs(count(fixture), 1)).isEqualTo(16_000);

        fixture.runPass(5_000);
        BacklogSnapshot late = count(fixture);
        assertThat(acceleratorMs(late, 2) - acceleratorMs(late, 0)).isEqualTo(8_000);
        assertThat(acceleratorMs(late, 1)).isEqualTo(acceleratorMs(late, 0));

        fixture.runPass(10_000);
        BacklogSnapshot pastUse = count(fixture);
        assertThat(acceleratorMs(pastUse, 2)).isEqualTo(acceleratorMs(pastUse, 0));
    }

    @Test
    void leavesGuaranteedWorkOutOfAWorkspacesExcess() throws IOException {
        fixture.worker("w1", "r1");
        fixture.state().setGuarantees(Map.of("lab", 8));
        fixture.submit(Jobs.job("a").priority(0).workspace("lab").step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("b").priority(0).workspace("lab").step(Jobs.step(1, 8)));

        BacklogSnapshot backlog = count(fixture);

        assertThat(backlog.urgentAccelerators()).containsExactly(Map.entry("lab", 16L));
        assertThat(backlog.pool("pool")
                        .orElseThrow()
                        .byPriority()
                        .get(0)
                        .waitingByWorkspace()
                        .get("lab")
                        .acceleratorMs())
                .isEqualTo(8_000);
    }

    @Test
    void keepsTheLargestWorkerWhenItIsLostAndWhatANewLeaderRestores() throws IOException {
        fixture.worker("w1", "r1");
        fixture.worker("w2", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(20, 1)));
        fixture.markLost("w2");

        BacklogSnapshot.PoolBacklog pool = count(fixture).pool("pool").orElseThrow();
        assertThat(pool.capacity().accelerators()).isEqualTo(8);
        assertThat(pool.largest().accelerators()).isEqualTo(8);
        SchedulerFixture next = fixture.successor();
        next.addUnevenWorkers();
        assertThat(acceleratorMs(count(next), 1)).isEqualTo(acceleratorMs(count(fixture), 1));
    }

    @Test
    void boundsWhatIsPublished() throws IOException {
        fixture.worker("w1", "r1");
        for (int i = 0; i < 100; i++) {
            fixture.submit(Jobs.job("a" + i).priority(i / 70).workspace("w" + i).step(Jobs.step(1, 8)));
        }

        BacklogSnapshot.PoolBacklog pool = count(fixture).pool("pool").orElseThrow();
        assertThat(pool.byPriority()).hasSize(2);
        assertThat(pool.byPriority().get(0).waitingByWorkspace()).hasSize(BacklogSnapshot.MAX_WORKSPACES);
    }
}
