package io.pollenreach.daemon.internal.work;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import io.pollenreach.internal.batch.EndKind;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.TaskId;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LocalRunsTest {
    private static final TaskRun RUN = new TaskRun(TaskId.of("a.0.0.0"), 1);

    private final LocalRuns runs = new LocalRuns();

    private static WorkerOrders orders(TaskRun... wanted) {
        List<WorkerOrders.OrderedRun> list = Arrays.stream(wanted)
                .map(r -> WorkerOrders.OrderedRun.of(r, "payload"))
                .toList();
        return new WorkerOrders("incarnation", list, List.of(), 0);
    }

    private void poll(List<RunningTask> running, List<RunEnd> ends, long sentMs) {
        runs.take(new TaskRunner.WorkerStatus(0, running, ends, Map.of()), sentMs);
    }

    private static RunningTask running(TaskRun run) {
        return new RunningTask(run, "", 10);
    }

    @Test
    void reportsAnOrderedRunAsActiveFromItsOrderOn() {
        runs.take(orders(RUN));

        assertThat(runs.active()).extracting(RunningTask::run).containsExactly(RUN);
        assertThat(runs.toStart(0, 10)).hasSize(1);
        assertThat(runs.toStart(0, 10)).isEmpty();
    }

    // An agent that restarts while its worker drains would otherwise say of a run at work that it never will run.
    @Test
    void neverRefusesARunThatIsAtWork() {
        runs.take(orders(RUN));
        poll(List.of(running(RUN)), List.of(), 1);

        assertThat(runs.toStart(5, 10)).isEmpty();
        assertThat(runs.ends()).isEmpty();
    }

    @Test
    void stopsARunThatAnUnansweredOrderMayYetStartBeforeItRefusesIt() {
        runs.take(orders(RUN));
        runs.toStart(0, 10);
        runs.startFailed(RUN, 1);
        assertThat(runs.toStart(200, 10)).hasSize(1);

        runs.abandon(RUN);

        assertThat(runs.ends()).isEmpty();
        assertThat(runs.active()).hasSize(1);
        assertThat(runs.toStop(201, 10)).containsExactly(RUN);
        runs.stopped(RUN, 202);
        poll(List.of(), List.of(), 203);
        assertThat(runs.active()).isEmpty();
        assertThat(runs.ends()).extracting(RunEnd::kind).containsExactly(EndKind.REFUSED);
    }

    @Test
    void refusesAtOnceARunThatWasNeverOrdered() {
        runs.take(orders(RUN));
        runs.toStart(0, 10);

        runs.abandon(RUN);

        assertThat(runs.ends()).extracting(RunEnd::kind).containsExactly(EndKind.REFUSED);
        assertThat(runs.active()).isEmpty();
    }

    // Guards against two runs at once: an agent that claimed its worker again forgot that it had refused a run and
    // started
    // it, while the scheduler placed the refused run's task elsewhere.
    @Test
    void startsNoRunThatWasRefusedBeforeAClaim() {
        RunEnd refusal = new RunEnd(0, RUN, EndKind.REFUSED, "");

        runs.restoreEnds(List.of(refusal));
        runs.take(orders(RUN));

        assertThat(runs.toStart(0, 10)).isEmpty();
        assertThat(runs.ends()).containsExactly(refusal);
        assertThat(runs.active()).isEmpty();
    }

    @Test
    void keepsAStoppedRunActiveUntilALaterPollNoLongerShowsIt() {
        runs.take(orders(RUN));
        runs.toStart(0, 10);
        runs.started(RUN);
        poll(List.of(running(RUN)), List.of(), 1);

        runs.take(orders());
        assertThat(runs.toStop(2, 10)).containsExactly(RUN);
        runs.stopped(RUN, 3);
        poll(List.of(), List.of(), 2);
        assertThat(runs.active()).hasSize(1);
        poll(List.of(), List.of(), 4);
        assertThat(runs.active()).isEmpty();
    }

    @Test
    void reportsAnEndUntilTheSchedulerHasTakenIt() {
        runs.take(orders(RUN));
        poll(List.of(), List.of(new RunEnd(1, RUN, EndKind.DONE, "")), 1);
        assertThat(runs.ends()).hasSize(1);
        assertThat(runs.newestEnd()).isEqualTo(1);

        runs.take(new WorkerOrders("incarnation", List.of(), List.of(), 1));

        assertThat(runs.ends()).isEmpty();
    }

    @Test
    void doesNotStartAgainARunThatEnded() {
        runs.take(orders(RUN));
        poll(List.of(), List.of(new RunEnd(1, RUN, EndKind.DONE, "")), 1);

        runs.take(orders(RUN));

        assertThat(runs.toStart(10, 10)).isEmpty();
    }

    @Test
    void stopsWhatNobodyOrdered() {
        poll(List.of(running(RUN)), List.of(), 1);

        assertThat(runs.toStop(2, 10)).containsExactly(RUN);
        assertThat(runs.active()).hasSize(1);
    }

    @Test
    void tellsThatAStartedRunIsGoneAfterTwoPollsWithoutIt() {
        runs.take(orders(RUN));
        runs.toStart(0, 10);
        runs.started(RUN);

        poll(List.of(), List.of(), 1);
        assertThat(runs.ends()).isEmpty();
        poll(List.of(), List.of(), 2);

        assertThat(runs.ends()).extracting(RunEnd::kind).containsExactly(EndKind.REFUSED);
    }

    @Test
    void sendsAnOrderThatFailedAgainLaterAndLater() {
        runs.take(orders(RUN));
        long nowMs = 0;
        long lastPauseMs = 0;
        for (int i = 0; i < 4; i++) {
            assertThat(runs.toStart(nowMs, 10)).hasSize(1);
            runs.startFailed(RUN, nowMs);
            long failedMs = nowMs;
            while (runs.toStart(nowMs, 10).isEmpty()) {
                nowMs += 10;
            }
            runs.startHeld(RUN, nowMs);
            assertThat(nowMs - failedMs).isGreaterThan(lastPauseMs);
            lastPauseMs = nowMs - failedMs;
        }
    }
}
