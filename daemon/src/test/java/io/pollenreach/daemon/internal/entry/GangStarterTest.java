package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.JobState;
import io.pollenreach.ManualClock;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.placement.Decision.Place;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Reserved;
import io.pollenreach.internal.wire.Unreserve;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangStarterTest {
    private static final Part SILENT = new Part(0, "w1", "10.0.0.1:1", 4);
    private static final Part ANSWERING = new Part(1, "w2", "10.0.0.2:1", 4);

    private final ManualClock clock = new ManualClock();
    private final Blackboard board = new Blackboard(new EntryView("10.0.0.9:1", "setubal", 1), clock);
    private final JobStore store = new JobStore(new FakeTable(), board.jobs(), clock);
    private final WorkerExclusions avoidance = new WorkerExclusions(clock);
    private final FakeRpc rpc = new FakeRpc();
    private final GangStarter starter = new GangStarter(board, store, new Gangs(rpc), avoidance, clock);
    private final CompletableFuture<Message> givenBack = new CompletableFuture<>();

    @Test
    void silentAgentIsToldToGiveBackButNotWaitedFor() {
        CompletableFuture<Void> started = start();

        assertThat(rpc.calls(Unreserve.class)).extracting(Unreserve::rank).containsExactlyInAnyOrder(0, 1);
        assertThat(started).as("the other part is given back first").isNotDone();
        givenBack.complete(null);
        assertThat(started).isCompleted();
        assertThat(avoidance.isExcluded("w1")).isTrue();
        assertThat(board.jobs()
                        .get(JobStoreTest.SPEC.key())
                        .orElseThrow()
                        .record()
                        .state())
                .isEqualTo(JobState.WAITING);
    }

    private CompletableFuture<Void> start() {
        rpc.answer((address, m) -> answer(address.equals(SILENT.address()), m));
        JobRow row = store.create(JobRecord.submit(JobStoreTest.SPEC, 1)).join();
        return starter.start(row, new Place(row.key(), List.of(SILENT, ANSWERING), List.of(), false, ""));
    }

    /** The silent agent lets a reservation time out and never answers what comes after it. */
    private CompletableFuture<Message> answer(boolean silent, Message m) {
        if (m instanceof Reserve r) {
            return silent ? FakeRpc.failed(ResultCode.PEER_TIMEOUT) : FakeRpc.done(new Reserved(r.id(), r.rank()));
        }
        return silent ? new CompletableFuture<>() : givenBack;
    }
}
