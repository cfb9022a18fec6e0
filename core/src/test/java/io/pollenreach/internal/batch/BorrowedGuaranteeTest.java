package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Workspaces ask for their guarantees after others have used them for jobs of priority 0. */
class BorrowedGuaranteeTest {
    /** Passes, 200 ms apart, within which guaranteed work begins, those in which it waits for room included. */
    private static final int PASSES = 10;

    private static final int ACCELERATORS = 8;

    private final SchedulerFixture cluster = new SchedulerFixture();
    private final List<String> workers = new ArrayList<>();

    private void startWorkers(int count) {
        for (int i = 1; i <= count; i++) {
            workers.add("w" + i);
            cluster.worker("w" + i, "r" + i % 2);
        }
    }

    private void submit(Jobs job) {
        cluster.submit(job);
    }

    private static Jobs lasting(String id, String workspace, int tasks, int accelerators) {
        StepSpec step =
                Jobs.step(tasks, accelerators).toBuilder().longRunning(true).build();
        return Jobs.job(id).priority(0).workspace(workspace).step(step);
    }

    /** Lets workers carry out their orders, and runs a pass. */
    private void pass() {
        for (String w : workers) {
            cluster.listRuns(
                    w,
                    cluster.orders(w).runs().stream()
                            .map(WorkerOrders.OrderedRun::run)
                            .toArray(TaskRun[]::new));
        }
        cluster.runPass(200);
    }

    private List<TaskRun> runs(String job) {
        return workers.stream()
                .flatMap(w -> cluster.orders(w).runs().stream())
                .map(WorkerOrders.OrderedRun::run)
                .filter(r -> r.task().job().equals(job))
                .toList();
    }

    private long stops() {
        return workers.stream().mapToLong(w -> cluster.orders(w).stops().size()).sum();
    }

    // review/13: guaranteed accelerators that an urgent job of another workspace had borrowed were not taken back
    @Test
    void takesBackWhatAnUrgentJobOfAnotherWorkspaceBorrowed() {
        startWorkers(4);
        cluster.state().setGuarantees(Map.of("a", 16, "b", 8));
        submit(lasting("lent", "b", 32, 1));
        pass();
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(2, 4)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(2);
        assertThat(runs("lent")).hasSize(24);
    }

    @Test
    void leavesABorrowerItsOwnGuarantee() {
        startWorkers(2);
        cluster.state().setGuarantees(Map.of("a", 8, "b", 8));
        submit(lasting("lent", "b", 16, 1));
        pass();
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(8, 1)));
        submit(Jobs.job("beyond").priority(0).workspace("a").step(Jobs.step(8, 1)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(8);
        assertThat(runs("lent")).hasSize(8);
        assertThat(runs("beyond")).isEmpty();
    }

    @Test
    void takesBackFromTheWorkspaceThatHasBorrowedAlthoughMoreWorkIsLost() {
        startWorkers(2);
        cluster.state().setGuarantees(Map.of("a", 8, "b", 8));
        submit(lasting("lent", "c", 8, 1));
        cluster.runPass(100_000);
        submit(lasting("due", "b", 16, 1));
        pass();
        assertThat(runs("due")).hasSize(8);
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(8, 1)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(8);
        assertThat(runs("due")).hasSize(8);
    }

    @Test
    void takesBackAGangThatIsBorrowedInPart() {
        startWorkers(2);
        cluster.state().setGuarantees(Map.of("a", 8, "b", 8));
        submit(Jobs.job("gang").priority(0).workspace("b").step(Jobs.gang(Jobs.step(2, 8))));
        pass();
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(1, 8)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(1);
        assertThat(runs("gang")).isEmpty();
    }

    @Test
    void freesAWholeWorkerWhereBorrowedRunsLieOnAll() {
        startWorkers(3);
        cluster.state().setGuarantees(Map.of("a", 8, "b", 12));
        submit(lasting("lent", "b", 24, 1));
        pass();
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(1, 8)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(1);
        assertThat(runs("lent")).hasSize(16);
    }

    @Test
    void stopsLessUrgentWorkBeforeBorrowedWork() {
        startWorkers(2);
        cluster.state().setGuarantees(Map.of("a", 8));
        submit(lasting("lent", "b", 8, 1));
        submit(Jobs.job("batch").priority(2).workspace("b").step(Jobs.step(1, 8)));
        pass();
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(1, 8)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(1);
        assertThat(runs("lent")).hasSize(8);
    }

    @Test
    void takesBackForAGuaranteeThatRisesWhileBorrowersRun() {
        startWorkers(1);
        cluster.state().setGuarantees(Map.of("b", 8));
        submit(lasting("lent", "b", 16, 1));
        submit(Jobs.job("own").priority(0).workspace("a").step(Jobs.step(1, 4)));
        pass();
        cluster.state().setGuarantees(Map.of("a", 4, "b", 4));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("own")).hasSize(1);
        assertThat(runs("lent")).hasSize(4);
    }

    // Guards against an overflow of the sum, by which jobs far beyond the guarantee counted as within it.
    @Test
    void doesNotCountJobsAfterHugeOnesAsGuaranteed() {
        startWorkers(1);
        cluster.state().setGuarantees(Map.of("a", 8));
        submit(Jobs.job("batch").priority(2).workspace("b").step(Jobs.step(8, 1)));
        // So much work is lost only for a guarantee.
        cluster.runPass(1_000_000);
        for (int i = 0; i < 3; i++) {
            submit(Jobs.job("huge-" + i).priority(0).workspace("a").step(Jobs.step(10_000, 100_000)));
        }
        submit(Jobs.job("small").priority(0).workspace("a").step(Jobs.step(8, 1)));
        for (int i = 0; i < PASSES; i++) {
            pass();
        }

        assertThat(runs("batch")).hasSize(8);
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 300);
    }

    /** Draws workspaces, guarantees and jobs; then each workspace within its guarantee asks for all of it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void beginsWhatIsWithinAGuaranteeAndStopsNothingThatIs(int seed) {
        Random random = new Random(seed);
        startWorkers(2 + random.nextInt(4));
        Map<String, Integer> guarantees = new HashMap<>();
        int left = workers.size() * ACCELERATORS;
        for (int i = 0; i < 2 + random.nextInt(3); i++) {
            int guarantee = random.nextInt(left / 2 + 1);
            guarantees.put("team-" + i, guarantee);
            left -= guarantee;
        }
        cluster.state().setGuarantees(guarantees);
        Map<String, Integer> needs = new HashMap<>();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            borrow("lent-" + i, "team-" + random.nextInt(guarantees.size()), needs, random);
            pass();
        }
        List<String> asking = new ArrayList<>();
        for (String workspace : guarantees.keySet()) {
            if (needs.getOrDefault(workspace, 0) == 0 && guarantees.get(workspace) > 0) {
                asking.add("own-" + workspace);
                submit(lasting("own-" + workspace, workspace, guarantees.get(workspace), 1));
            }
        }
        Set<TaskRun> covered = new HashSet<>();
        for (int i = 0; i < 2 * PASSES; i++) {
            pass();
            workers.forEach(w -> assertThat(cluster.orders(w).stops()).noneMatch(covered::contains));
            for (String job : asking) {
                covered.addAll(runs(job));
            }
        }

        for (String job : asking) {
            assertThat(runs(job)).as(job).hasSize(guarantees.get(job.substring("own-".length())));
        }
        for (int i = 0; i < 2 * PASSES; i++) {
            pass();
            assertThat(stops()).as("stops once all have begun").isZero();
        }
    }

    private void borrow(String id, String workspace, Map<String, Integer> needs, Random random) {
        int accelerators = 1 << random.nextInt(4);
        int tasks = 1 + random.nextInt(1 + workers.size() * ACCELERATORS / accelerators);
        StepSpec step = Jobs.step(tasks, accelerators).toBuilder()
                .gang(random.nextInt(3) == 0)
                .longRunning(random.nextBoolean())
                .build();
        int priority = random.nextInt(3) == 0 ? 1 : 0;
        if (priority == 0) {
            needs.merge(workspace, tasks * accelerators, Integer::sum);
        }
        submit(Jobs.job(id).priority(priority).workspace(workspace).step(step));
    }
}
