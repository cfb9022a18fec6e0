package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays the load of a crest: 80 workers, wide jobs of small tasks, gangs on one rack, and urgent jobs among them. */
class CrowdedPoolTest {
    private static final int WORKERS = 80;
    private static final int WORKERS_IN_RACK = 8;
    private static final int ACCELERATORS = 8;
    private static final int WIDE_JOBS = 60;
    private static final int WIDE_TASKS = 26;
    private static final int GANGS = 40;

    /** Wide tasks and gangs of four sizes, each fresh, waiting for its rack, or ready to go anywhere. */
    private static final int KINDS = 15;

    /** Near the data or on one rack, and then anywhere. */
    private static final int SEARCHES_PER_KIND = 2;

    private static final long MAX_EXAMINED = (long) (KINDS * SEARCHES_PER_KIND + PlacementPass.MAX_CLAIMS) * WORKERS;

    private final SchedulerFixture cluster = new SchedulerFixture();

    @BeforeEach
    void fillThePool() {
        for (int i = 0; i < WORKERS; i++) {
            cluster.worker("w" + i, "r" + i / WORKERS_IN_RACK);
        }
        for (int i = 0; i < WIDE_JOBS; i++) {
            cluster.submit(Jobs.job("wide-" + i).priority(2).step(Jobs.step(WIDE_TASKS, 1)));
        }
        for (int i = 0; i < GANGS; i++) {
            StepSpec step = Jobs.gang(Jobs.step(4, 1 + i % 4)).toBuilder()
                    .sameRack(true)
                    .build();
            cluster.submit(Jobs.job("gang-" + i).priority(1).step(step));
        }
    }

    private static List<Integer> usedAccelerators(SchedulerFixture cluster) {
        return IntStream.range(0, WORKERS)
                .mapToObj(i -> cluster.orders("w" + i).runs().size())
                .toList();
    }

    @Test
    void examinesEachWorkerAFewTimesAPassHoweverManyTasksWait() {
        long before = cluster.state().workersExamined();

        cluster.runPass(100);

        assertThat(cluster.state().workersExamined() - before).isLessThan(MAX_EXAMINED);
    }

    @Test
    void leavesNoAcceleratorIdleWhileSmallTasksWait() {
        assertThat(usedAccelerators(cluster)).containsOnly(ACCELERATORS);
    }

    @Test
    void startsUrgentJobsInThePassThatSeesThemByStoppingLessUrgentRuns() {
        List<String> urgent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            String id = "urgent-" + i;
            urgent.add(id);
            cluster.submit(Jobs.job(id).priority(0).step(Jobs.step(4, 1)));
        }

        long stopping = IntStream.range(0, WORKERS)
                .mapToLong(i -> cluster.orders("w" + i).stops().size())
                .sum();
        assertThat(stopping).isEqualTo(urgent.size() * 4L);
    }

    @Test
    void givesFreedCapacityToGangsBeforeLessUrgentTasks() {
        long number = 0;
        for (WorkerOrders.OrderedRun run : cluster.orders("w0").runs()) {
            cluster.end("w0", ++number, run.run().task().toString(), run.run().run(), EndKind.DONE);
        }

        assertThat(cluster.orders("w0").runs())
                .anyMatch(r -> r.run().task().job().startsWith("gang-"));
    }

    // Guards against choosing a worker by the work of all its runs: a gang of an hour was stopped for a task that the
    // stop of one short run on another worker would have let in.
    @Test
    void stopsTheRunWithTheLeastWorkWhereverItIs() {
        SchedulerFixture pool = new SchedulerFixture();
        pool.worker("w1", "r1");
        pool.submit(Jobs.job("old").priority(2).step(Jobs.step(1, 8)));
        pool.runPass(3_000);
        pool.worker("w2", "r1");
        pool.submit(Jobs.job("older").priority(2).step(Jobs.step(7, 1)));
        pool.runPass(3_000);
        pool.submit(Jobs.job("young").priority(2).step(Jobs.step(1, 1)));

        pool.submit(Jobs.job("urgent").priority(0).step(Jobs.step(1, 1)));

        assertThat(pool.orders("w1").stops()).isEmpty();
        assertThat(pool.orders("w2").stops())
                .singleElement()
                .satisfies(r -> assertThat(r.task().job()).isEqualTo("young"));
    }

    @Test
    void countsAGangOnceWhenSeveralOfItsMembersAreStopped() {
        SchedulerFixture pool = new SchedulerFixture();
        for (int i = 0; i < 4; i++) {
            pool.worker("w" + i, "r1");
        }
        StepSpec gang = Jobs.gang(Jobs.step(2, 8));
        pool.submit(Jobs.job("gang").priority(1).step(gang));
        pool.runPass(1_000);
        pool.submit(Jobs.job("single").priority(1).step(Jobs.step(2, 8)));
        pool.runPass(1_000);

        pool.submit(Jobs.job("urgent").priority(0).step(Jobs.step(2, 8)));

        List<String> stopped = IntStream.range(0, 4)
                .mapToObj(i -> pool.orders("w" + i).stops())
                .flatMap(List::stream)
                .map(r -> r.task().job())
                .distinct()
                .toList();
        assertThat(stopped).containsExactly("single");
    }
}
