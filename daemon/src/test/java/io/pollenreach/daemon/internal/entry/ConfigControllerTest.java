package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;

import io.pollenreach.Adjacency;
import io.pollenreach.ManualClock;
import io.pollenreach.ResultCode;
import io.pollenreach.Shape;
import io.pollenreach.Workspace;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConfigControllerTest {
    private static final TargetInfo WORKER =
            new TargetInfo("w1", 1, 1, TargetKind.WORKER, "", "setubal", "r1", "10.0.0.9:1", 8, 0, Load.NONE, false);

    private final FakeTable table = new FakeTable();
    private final FakeRpc rpc = new FakeRpc();
    private final ManualClock clock = new ManualClock();
    private final Blackboard board = board("10.0.0.1:1");
    private final ConfigController here = controller(board);
    private final Blackboard otherBoard = board("10.0.0.2:1");
    private final ConfigController other = controller(otherBoard);

    @Test
    void secondOfTwoRacingOperatorsGetsConflictAndNothingIsLost() {
        here.putWorkspace(workspace("a", 4, 10), Optional.of(0L)).join();
        table.beforeNextWrite(
                () -> other.putWorkspace(workspace("a", 4, 30), Optional.of(1L)).join());
        assertThatThrownBy(() -> here.putWorkspace(workspace("a", 4, 20), Optional.of(1L))
                        .join())
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(ResultCode.CONFLICT));
        assertThat(board.config().get().workspace("a").orElseThrow().share()).isEqualTo(30);
    }

    @Test
    void guaranteesThatFitOnlyOneByOneAreNotBothAccepted() {
        table.beforeNextWrite(
                () -> other.putWorkspace(workspace("b", 8, 1), Optional.of(0L)).join());
        assertThatThrownBy(() ->
                        here.putWorkspace(workspace("a", 8, 1), Optional.of(0L)).join())
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(ResultCode.GUARANTEE_INFEASIBLE));
    }

    @Test
    void sameDeclarationAgainChangesNothing() {
        long first =
                here.putWorkspace(workspace("a", 4, 1), Optional.empty()).join().version();
        assertThat(here.putWorkspace(workspace("a", 4, 1), Optional.empty())
                        .join()
                        .version())
                .isEqualTo(first);
    }

    @Test
    void lostAnswerOfAcceptedChangeIsFoundOut() {
        table.loseAnswers(1);
        assertThat(here.putWorkspace(workspace("a", 4, 1), Optional.of(0L))
                        .join()
                        .version())
                .isEqualTo(1);
    }

    // Guards against "nothing was accepted" for a change that was: the platform goes down before it can be read back.
    @Test
    void changeThatCannotBeReadBackIsNotSaidToBeRefused() {
        table.goDownAfterWrite();
        assertThatThrownBy(() ->
                        here.putWorkspace(workspace("a", 4, 1), Optional.of(0L)).join())
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(ResultCode.WRITE_UNKNOWN));
    }

    @Test
    void deletionIsConfirmedThoughItCannotBeReadBack() {
        here.putWorkspace(workspace("a", 4, 1), Optional.of(0L)).join();
        table.goDownAfterWrite();

        assertThat(here.delete(ConfigSnapshot.WORKSPACE + "a", Optional.of(1L))).isCompleted();
    }

    @Test
    void olderListNeverReplacesNewerConfiguration() {
        here.putWorkspace(workspace("a", 4, 1), Optional.of(0L)).join();
        ConfigSnapshot old = board.config().get();
        here.putWorkspace(workspace("a", 4, 2), Optional.of(1L)).join();
        assertThat(board.config().adopt(old)).isFalse();
        assertThat(board.config().get().workspace("a").orElseThrow().share()).isEqualTo(2);
    }

    @Test
    void entryThatStartsWhileThePlatformIsDownTakesThePeersConfiguration() {
        here.putWorkspace(workspace("a", 4, 7), Optional.of(0L)).join();
        table.down(true);
        rpc.answer((a, m) -> FakeRpc.done(here.state()));
        other.pull("10.0.0.1:1").join();
        assertThat(otherBoard.config().known()).isTrue();
        assertThat(otherBoard.config().get().workspace("a").orElseThrow().share())
                .isEqualTo(7);
    }

    @Test
    void entryThatKnowsNothingIsNotBelieved() {
        rpc.answer((a, m) -> FakeRpc.done(here.state()));
        other.pull("10.0.0.1:1").join();
        assertThat(otherBoard.config().known()).isFalse();
    }

    private Blackboard board(String address) {
        Blackboard b = new Blackboard(new EntryView(address, "setubal", 1), clock);
        b.targets().announced(WORKER, 0);
        return b;
    }

    private ConfigController controller(Blackboard b) {
        ClusterViews views = new ClusterViews(b, new WorkerExclusions(clock), clock);
        return new ConfigController(b, table, views, rpc, clock, () -> {});
    }

    private static Workspace workspace(String name, int accelerators, int share) {
        return new Workspace(name, List.of(new Shape(1, accelerators, Adjacency.ANY)), 8, share, 10, "hash");
    }
}
