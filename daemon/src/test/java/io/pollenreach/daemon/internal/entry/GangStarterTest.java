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
    private static final Part UNRESPONSIVE = new Part(0, "w1", "10.0.0.1:1", 4);
    private static final Part RESPONSIVE = new Part(1, "w2", "10.0.0.2:1", 4);

    private final ManualClock clock = new ManualClock();
    private final Blackboard blackboard = new Blackboard(new EntryView("10.0.0.9:1", "setubal", 1), clock);
    private final JobStore store = new JobStore(new FakeTable(), blackboard.jobs(), clock);
    private final WorkerExclusions avoidance = new WorkerExclusions(clock);
    private final FakeRpc rpc = new FakeRpc();
    private final GangStarter starter = new GangStarter(blackboard, store, new GangClient(rpc), avoidance, clock);
    private final CompletableFuture<Message> unreserveReply = new CompletableFuture<>();

    @Test
    void startDoesNotWaitForUnresponsiveAgentToUnreserve() {
        CompletableFuture<Void> started = start();

        assertThat(rpc.calls(Unreserve.class)).extracting(Unreserve::rank).containsExactlyInAnyOrder(0, 1);
        assertThat(started)
                .as("waits for the responsive agent to unreserve its part")
                .isNotDone();
        unreserveReply.complete(null);
        assertThat(started).isCompleted();
        assertThat(avoidance.isExcluded("w1")).isTrue();
        assertThat(blackboard
                        .jobs()
                        .get(JobStoreTest.SPEC.key())
                        .orElseThrow()
                        .record()
                        .state())
                .isEqualTo(JobState.WAITING);
    }

    private CompletableFuture<Void> start() {
        rpc.answer((address, m) -> answer(address.equals(UNRESPONSIVE.address()), m));
        JobRow row = store.create(JobRecord.submit(JobStoreTest.SPEC, 1)).join();
        return starter.start(row, new Place(row.key(), List.of(UNRESPONSIVE, RESPONSIVE), List.of(), false, ""));
    }

    /** The unresponsive agent lets the reservation time out and never responds to later messages. */
    private CompletableFuture<Message> answer(boolean unresponsive, Message m) {
        if (m instanceof Reserve r) {
            return unresponsive
                    ? FakeRpc.failed(ResultCode.PEER_TIMEOUT)
                    : FakeRpc.done(new Reserved(r.id(), r.rank()));
        }
        return unresponsive ? new CompletableFuture<>() : unreserveReply;
    }
}
