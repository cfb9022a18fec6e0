package io.pollenreach.daemon.internal.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.intake.BacklogSnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What entries learn of the number of waiting jobs, and what a leader publishes of it. */
class LeaderWatchTest {
    private static final long LEASE_MS = 6_000;
    private static final long POLL_MS = 10;

    private final MemoryStore store = new MemoryStore();
    private final ManualClock clock = new ManualClock();
    private final LeaderWatch leader = new LeaderWatch(store, clock);

    private static Rows heartbeat(long version, Map<String, Integer> counts) {
        byte[] value = RowCodec.toValue(new LeaderRows.Heartbeat("e1", version, counts));
        return new Rows(version, List.of(new StoredRow(Tables.BEAT, version, value)));
    }

    // Guards against 0 for a count that this entry has not heard.
    @Test
    void knowsNoCountBeforeTheFirstHeartbeat() {
        leader.start();

        assertThat(leader.waitingJobs("q")).isEmpty();
    }

    // Guards against 0 while a new leader loads its state: it shows that it leads before it can count anything
    // (the trial "election" of the second review).
    @Test
    void keepsTheCountsUntilTheyAreOldWhileANewLeaderLoads() {
        leader.start();
        leader.changes(heartbeat(2, Map.of("q", 10)));
        clock.advanceMs(1_500);
        leader.changes(heartbeat(3, null));

        assertThat(leader.waitingJobs("q")).hasValue(10);

        clock.advanceMs(501);
        assertThat(leader.waitingJobs("q")).isEmpty();

        leader.changes(heartbeat(4, Map.of("q", 9)));
        assertThat(leader.waitingJobs("q")).hasValue(9);
    }

    // Guards against counts of a leader that was gone long before this entry started.
    @Test
    void doesNotTakeTheCountsOfAHeartbeatThatItFindsAtItsStart() {
        store.put(Tables.LEADER, Tables.BEAT, RowCodec.toValue(new LeaderRows.Heartbeat("e1", 1, Map.of("q", 10))));
        leader.start();

        assertThat(leader.waitingJobs("q")).isEmpty();
    }

    @Test
    void publishesNoCountsBeforeItsStateIsWhole() throws Exception {
        store.put(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("e1")));
        StepSpec step = StepSpec.builder(1, Resources.NONE).build();
        BatchJob job = new BatchJob("a", "q", "team", "pool", 1, 3, "payload", List.of(step), null, false);
        store.put(Tables.JOBS, "a", RowCodec.toValue(job));
        CompletableFuture<Void> release = new CompletableFuture<>();
        store.holdLists(release);
        Term term = newTerm();
        CompletableFuture<Void> loading = CompletableFuture.runAsync(() -> load(term));
        while (storedHeartbeat().isEmpty()) {
            assertThat(loading).isNotDone();
            Thread.sleep(POLL_MS);
        }

        assertThat(storedHeartbeat().orElseThrow().counts()).isEmpty();
        release.complete(null);
        loading.join();
        assertThat(storedHeartbeat().orElseThrow().counts()).isEmpty();
        term.step();
        assertThat(storedHeartbeat().orElseThrow().counts()).contains(Map.of("q", 1));
        assertThat(store.get(Tables.LEADER, Tables.BACKLOG)
                        .join()
                        .flatMap(r -> RowCodec.fromRow(r, BacklogSnapshot.class)))
                .contains(new BacklogSnapshot(List.of(), Map.of(), 1, Map.of("team", 1L)));
    }

    private static Rows backlog(long version, String json) {
        return new Rows(
                version, List.of(new StoredRow(Tables.BACKLOG, version, json.getBytes(StandardCharsets.UTF_8))));
    }

    // A new leader first loads its state, and publishes nothing meanwhile.
    @Test
    void forgetsTheBacklogOfALeaderThatIsGone() {
        leader.start();
        leader.changes(backlog(2, "{\"pools\":[{\"pool\":\"p\",\"unknown\":{\"x\":1}}],\"unknown\":3}"));
        assertThat(leader.backlog().known(clock.nowMs())).isPresent();

        clock.advanceMs(2_001);
        leader.changes(heartbeat(3, null));
        assertThat(leader.backlog().known(clock.nowMs())).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"pools\":{\"p\":1}}",
                "not JSON",
                "{\"urgentAccelerators\":{\"a\":-1}}",
                "{\"pools\":[{\"pool\":\"p\",\"capacity\":{\"milliCpu\":-4}}]}",
                "{\"pools\":[{\"pool\":\"p\",\"byPriority\":{\"1\":{\"work\":{\"milliCpuMs\":1e999}}}}]}",
                "{\"pools\":[null]}"
            })
    void leavesOutABacklogOfAnotherVersionOrWithBadFigures(String json) {
        leader.start();
        leader.changes(backlog(2, json));
        leader.changes(heartbeat(3, Map.of("q", 4)));

        assertThat(leader.backlog().known(clock.nowMs())).isEmpty();
        assertThat(leader.waitingJobs("q")).hasValue(4);
    }

    private Term newTerm() {
        long version =
                store.get(Tables.LEADER, Tables.TERM).join().orElseThrow().version();
        SchedulerContext context =
                new SchedulerContext("e1", store, leader, () -> Map.of("lab", 8), Advisor.none(), clock, LEASE_MS);
        return new Term(context, version, (event, pairs) -> {}, new SimpleMeterRegistry());
    }

    private static void load(Term term) {
        try {
            term.load();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Optional<LeaderRows.Heartbeat> storedHeartbeat() {
        return store.get(Tables.LEADER, Tables.BEAT)
                .join()
                .flatMap(r -> RowCodec.fromRow(r, LeaderRows.Heartbeat.class));
    }
}
