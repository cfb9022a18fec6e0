package io.pollenreach.daemon.internal.work;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.TaskId;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerOutlook;
import io.pollenreach.internal.batch.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

class BatchAgentTest {
    private static final long LEASE_MS = 6_000;
    private static final long POLL_MS = 20;

    /** Connections that an agent may have to its worker on the platform; one is for the poll. */
    private static final int CONNECTIONS = 16;

    private static final TaskRun FIRST = new TaskRun(TaskId.of("a.0.0.0"), 1);
    private static final TaskRun SECOND = new TaskRun(TaskId.of("a.0.0.1"), 1);

    private final MemoryStore store = new MemoryStore();
    private final FakeWorker worker = new FakeWorker();
    private final BatchAgent agent = new BatchAgent("w1", store, worker, Clock.system(), LEASE_MS, Optional.empty());

    @AfterEach
    void close() {
        agent.close();
    }

    private void putOrders(byte[] row) {
        store.put(Tables.ordersOf("w1"), "w1", row);
        store.discardHistory(Tables.ordersOf("w1"));
    }

    private byte[] orders(TaskRun... runs) {
        List<WorkerOrders.OrderedRun> ordered = Stream.of(runs)
                .map(r -> WorkerOrders.OrderedRun.of(r, "payload"))
                .toList();
        return RowCodec.toValue(new WorkerOrders(storedReport().orElseThrow().incarnation(), ordered, List.of(), 0));
    }

    private Optional<WorkerReport> storedReport() {
        return Claims.report(store.get(Tables.WORKERS, "w1").join());
    }

    private void awaitStart(TaskRun run) throws InterruptedException {
        while (!worker.started.contains(run)) {
            Thread.sleep(POLL_MS);
        }
    }

    // Guards against lost work: a row of orders that could not be read counted as none, and all runs were stopped.
    @Test
    @Timeout(30)
    void keepsItsRunsWhenItsOrdersCannotBeRead() throws Exception {
        agent.start();
        agent.heartbeat(
                new WorkerInfo("i1", 1, 1, "pool", "zone", false, new Resources(1_000, 1_000, 8), List.of(), "rack"));
        while (storedReport().filter(WorkerReport::takesTasks).isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        putOrders(orders(FIRST));
        awaitStart(FIRST);

        putOrders("no orders".getBytes(StandardCharsets.UTF_8));
        putOrders(orders(FIRST, SECOND));
        awaitStart(SECOND);

        assertThat(worker.stopped).isEmpty();
    }

    private static WorkerInfo heartbeat(long sequence, String pool, boolean draining) {
        return new WorkerInfo(
                "i1", 1, sequence, pool, "zone", draining, new Resources(1_000, 1_000, 8), List.of(), "rack");
    }

    // Guards against a worker that one heartbeat of another writer takes out of use for good: it named an unknown
    // pool and a high number, so that all true ones counted as late (review/9).
    @Test
    @Timeout(30)
    void hearsItsWorkerBesideAnOddHeartbeatUnderItsName() throws Exception {
        agent.start();
        agent.heartbeat(heartbeat(1, "pool", false));
        while (storedReport().filter(WorkerReport::takesTasks).isEmpty()) {
            Thread.sleep(POLL_MS);
        }

        agent.heartbeat(heartbeat(1_000_000, "unknown", false));
        agent.heartbeat(heartbeat(2, "pool", true));

        while (storedReport().filter(r -> !r.takesTasks()).isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        assertThat(storedReport().orElseThrow().pool()).isEqualTo("pool");
    }

    @Test
    @Timeout(30)
    void reportsWhenItsWorkerLeaves() throws Exception {
        agent.start();
        agent.heartbeat(heartbeat(1, "pool", false));
        while (storedReport().filter(WorkerReport::takesTasks).isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        assertThat(storedReport().orElseThrow().outlook()).isEqualTo(WorkerOutlook.NONE);

        agent.heartbeat(new WorkerInfo(
                "i1",
                1,
                2,
                "pool",
                "zone",
                true,
                new Resources(1_000, 1_000, 8),
                List.of(),
                "rack",
                new WorkerOutlook(60_000, 0)));

        while (storedReport().filter(r -> r.outlook().leavesInMs() > 0).isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        assertThat(storedReport().orElseThrow().outlook().leavesInMs()).isBetween(30_000L, 60_000L);
    }

    // review/12: hundreds of orders at once timed out in the agent's own queue, and the poll that extends the lease
    // behind
    // them
    @Test
    @Timeout(30)
    void hasNoMoreOrdersInFlightThanItsWorkerAnswers() throws Exception {
        worker.delayOrders(5);
        agent.start();
        agent.heartbeat(heartbeat(1, "pool", false));
        while (storedReport().filter(WorkerReport::takesTasks).isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        TaskRun[] many = IntStream.range(0, 400)
                .mapToObj(i -> new TaskRun(TaskId.of("a.0.0." + i), 1))
                .toArray(TaskRun[]::new);
        putOrders(orders(many));
        while (worker.started.size() < many.length) {
            Thread.sleep(POLL_MS);
        }
        putOrders(orders());
        while (worker.stopped.size() < many.length) {
            Thread.sleep(POLL_MS);
        }

        assertThat(worker.mostOrdersInFlight()).isLessThan(CONNECTIONS);
        assertThat(worker.started).hasSize(many.length);
    }
}
