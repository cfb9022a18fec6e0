package io.pollenreach.daemon.internal.entry;

import java.util.List;

import io.pollenreach.JobState;
import io.pollenreach.ManualClock;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerTest {
    private final ManualClock clock = new ManualClock();
    private final Blackboard board = new Blackboard(new EntryView("10.0.0.9:1", "setubal", 1), clock);
    private final JobStore store = new JobStore(new FakeTable(), board.jobs(), clock);
    private final WorkerExclusions exclusions = new WorkerExclusions(clock);
    private final ClusterViews views = new ClusterViews(board, exclusions, clock);
    private final GangStarter starter = new GangStarter(board, store, new GangClient(new FakeRpc()), exclusions, clock);
    private final Planner planner =
            new Planner(board, GuaranteedPlacer.builder().build(), views, starter, store, clock, () -> {});
    private long sequence;

    @Test
    void refusesAJobThatNoWorkerCanHoldAfterAWhile() {
        submit();
        for (long ms = 0; ms <= Planner.NEVER_RUNNABLE_AFTER_MS; ms += 500) {
            clock.advanceMs(500);
            board.listeningSinceMs(clock.nowMs());
        }
        hearSmallWorker();
        planner.plan();
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void refusesNoJobForWorkersThatItDidNotHearWhileItWasPaused() {
        submit();
        clock.advanceMs(2 * Planner.NEVER_RUNNABLE_AFTER_MS);
        hearSmallWorker();
        planner.plan();
        assertThat(state()).isEqualTo(JobState.WAITING);
    }

    /** Hears a worker that is too small for the job. */
    private void hearSmallWorker() {
        sequence++;
        TargetInfo small = new TargetInfo(
                "w1", 1, sequence, TargetKind.WORKER, "", "setubal", "r1", "10.0.0.1:1", 2, 0, Load.NONE, false);
        board.targets().announced(small, clock.nowMs());
    }

    private void submit() {
        Workspace tejo = new Workspace("tejo", List.of(), 64, 1, 10, "");
        Row row =
                new Row("config", "workspace/tejo", 1, 1, false, Json.lenient().valueToTree(tejo));
        board.config().apply(new RowList(1, List.of(row)));
        store.create(JobRecord.submit(JobStoreTest.SPEC, 1)).join();
    }

    private JobState state() {
        return board.jobs().get(JobStoreTest.SPEC.key()).orElseThrow().record().state();
    }
}
