package io.pollenreach.internal.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Which jobs count as waiting: those that no worker has shown to have started. */
class WaitingCountsTest {
    private static final int STEPS = 40;
    private static final String[] WORKERS = {"w1", "w2", "w3"};

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static Map<String, Integer> waiting(SchedulerFixture scheduler) {
        return scheduler.state().waitingByQueue();
    }

    // Guards against a count that lacks jobs which have not begun: they were placed on a worker whose agent was cut off
    // (review/10).
    @Test
    void countsAPlacedJobUntilItsWorkerListsTheRun() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        assertThat(fixture.orders("w1").runs()).hasSize(1);
        assertThat(waiting(fixture)).containsEntry("queue", 1);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.QUEUED);

        fixture.starting("w1", "a.0.0.0", 1);
        assertThat(waiting(fixture)).containsEntry("queue", 1);

        fixture.running("w1", "a.0.0.0", 1, "");
        assertThat(waiting(fixture)).isEmpty();
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void countsAJobWhoseOnlyStartWasRefused() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.end("w1", 0, "a.0.0.0", 1, EndKind.REFUSED);

        assertThat(waiting(fixture)).containsEntry("queue", 1);
    }

    @Test
    void countsAJobWhoseWorkerWasLostBeforeItStartedTheRun() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.markLost("w1");

        assertThat(waiting(fixture)).containsEntry("queue", 1);
    }

    @Test
    void doesNotCountAJobWhoseOnlyRunHasEnded() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));

        fixture.end("w1", 1, "a.0.0.0", 1, EndKind.LAPSED);

        assertThat(waiting(fixture)).isEmpty();
    }

    @Test
    void doesNotCountAJobThatStartedAndWaitsAgain() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").priority(2).step(Jobs.step(1, 8)));
        fixture.running("w1", "a.0.0.0", 1, "");

        fixture.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 8)));

        assertThat(waiting(fixture)).containsEntry("queue", 1);
        assertThat(fixture.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void countsAfterAHandOverOnlyWhatNoWorkerHasStarted() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        fixture.submit(Jobs.job("b").step(Jobs.step(1, 1)));
        fixture.submit(Jobs.job("c").step(Jobs.step(1, 8)));
        fixture.running("w1", "a.0.0.0", 1, "");

        assertThat(waiting(fixture.successor())).containsEntry("queue", 2);
    }

    // A leader may stop after an agent has reported a run and before it has stored that the job has started.
    @Test
    void learnsOfAStartFromTheReportThatItRestores() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        SchedulerFixture next = fixture.successor();

        next.running("w1", "a.0.0.0", 1, "");

        assertThat(waiting(next)).isEmpty();
        assertThat(next.progress("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void ignoresARunThatWasNeverOrdered() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 8)));
        fixture.submit(Jobs.job("b").step(Jobs.step(1, 8)));

        fixture.running("w1", "b.0.0.0", 4, "");

        assertThat(fixture.progress("b").phase()).isEqualTo(JobPhase.QUEUED);
    }

    @Test
    void doesNotCountRecurringJobs() {
        fixture.submit(Jobs.job("a").recurring(2, 0, 0).step(Jobs.step(1, 1)));

        assertThat(waiting(fixture)).isEmpty();
    }

    @Property(tries = 200, seed = "10")
    void countsAsAPassOverAllJobsWould(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        SchedulerFixture scheduler = new SchedulerFixture();
        for (int step = 0; step < STEPS; step++) {
            change(scheduler, random, step);
            if (random.nextInt(15) == 0) {
                scheduler = scheduler.successor();
            }
            assertThat(waiting(scheduler)).isEqualTo(fullCount(scheduler));
        }
    }

    private static void change(SchedulerFixture scheduler, Random random, int step) {
        String worker = WORKERS[random.nextInt(WORKERS.length)];
        switch (random.nextInt(7)) {
            case 0 -> scheduler.worker(worker, "r1");
            case 1, 2 -> scheduler.submit(Jobs.job("j" + step)
                    .priority(random.nextInt(3))
                    .step(Jobs.step(1 + random.nextInt(2), 1 + random.nextInt(8))));
            case 3 -> scheduler.cancel("j" + random.nextInt(STEPS));
            default -> changeRun(scheduler, worker, random, step);
        }
    }

    private static void changeRun(SchedulerFixture scheduler, String worker, Random random, int step) {
        List<WorkerOrders.OrderedRun> runs = scheduler.orders(worker).runs();
        if (runs.isEmpty()) {
            return;
        }
        TaskRun run = runs.get(random.nextInt(runs.size())).run();
        String task = run.task().toString();
        switch (random.nextInt(5)) {
            case 0 -> scheduler.starting(worker, task, run.run());
            case 1 -> scheduler.running(worker, task, run.run(), "");
            case 2 -> scheduler.markLost(worker);
            case 3 -> scheduler.end(worker, 0, task, run.run(), EndKind.REFUSED);
            default -> scheduler.end(
                    worker, step + 1, task, run.run(), EndKind.values()[random.nextInt(EndKind.REFUSED.ordinal())]);
        }
    }

    private static Map<String, Integer> fullCount(SchedulerFixture scheduler) {
        Map<String, Integer> count = new HashMap<>();
        for (JobProgress job : scheduler.state().jobs().values()) {
            if (job.phase() == JobPhase.QUEUED && job.job().recurrence() == null) {
                count.merge(job.job().queue(), 1, Integer::sum);
            }
        }
        return count;
    }
}
