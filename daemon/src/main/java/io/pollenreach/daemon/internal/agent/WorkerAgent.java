package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.internal.gang.GangLeader;
import io.pollenreach.internal.gang.GangMember;
import io.pollenreach.internal.gang.GangTimes;
import io.pollenreach.internal.wire.GangHeartbeat;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.PartState;

/**
 * The side of an agent that is specific to workers: the table of parts, the objects that act on it, and their periodic
 * work.
 *
 * <p>Invariant: each {@link #tick()} stops the parts that must stop before it renews leases. {@link #tick()} is called
 * from one thread, everything else from any.
 */
final class WorkerAgent implements TargetAgent {
    private static final Events EVENTS = Events.of(WorkerAgent.class);

    private final Clock clock;
    private final long incarnation;
    private final PartTable table;
    private final PartStopper stopper;
    private final WorkerGuard guard;
    private final GangGuard gangs;
    private final LeaseKeeper leases;
    private final OrphanStopper orphans;
    private final FailureWindow failures;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile HomeLink home;
    private volatile boolean draining;
    private CompletableFuture<Boolean> stoppingOrphans = CompletableFuture.completedFuture(false);
    private volatile boolean accepting;
    private long nextOrphanStopMs;
    private long nextHeartbeatMs;
    private long nextRenewMs;
    private long nextPollMs;

    /**
     * Creates the agent of a worker; it accepts no work until {@link #tick()} has found no task of an earlier agent.
     *
     * @param id the worker's name
     * @param accelerators how many accelerators the worker has
     * @param runtime the worker's runtime
     * @param rpc sends gang heartbeats to other agents
     * @param clock the clock of all leases
     */
    WorkerAgent(String id, int accelerators, TaskRuntime runtime, Rpc rpc, Clock clock) {
        this.clock = clock;
        incarnation = clock.wallMs();
        GangMember member = new GangMember(clock);
        GangLeader leader = new GangLeader(clock);
        failures = new FailureWindow(clock);
        table = new PartTable(clock, accelerators);
        stopper = new PartStopper(table, runtime, member, clock, this::onPartEnded);
        guard = new WorkerGuard(id, table, stopper, runtime, member, leader, failures, clock);
        gangs = new GangGuard(id, table, stopper, member, leader, rpc, clock);
        leases = new LeaseKeeper(table, stopper, runtime, failures, clock);
        orphans = new OrphanStopper(runtime);
    }

    private void onPartEnded() {
        HomeLink link = home;
        if (link != null) {
            link.requestHeartbeat();
        }
    }

    @Override
    public void setHomeLink(HomeLink link) {
        home = link;
    }

    @Override
    public CompletableFuture<Message> handle(Message message) {
        if (message instanceof GangHeartbeat) {
            return CompletableFuture.completedFuture(gangs.handle((GangHeartbeat) message));
        }
        return guard.handle(message);
    }

    @Override
    public void tick() {
        if (!accepting) {
            stopOrphans();
            return;
        }
        long nowMs = clock.nowMs();
        stopPartsWithoutEntryContact();
        leases.stopPartsWithExpiredLease();
        gangs.stopOverdueParts();
        stopper.tick();
        if (nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = nowMs + GangTimes.HEARTBEAT_INTERVAL_MS;
            gangs.sendHeartbeats();
        }
        if (nowMs >= nextRenewMs) {
            nextRenewMs = nowMs + AgentTimes.RENEW_MS;
            leases.renew();
        }
        if (nowMs >= nextPollMs) {
            nextPollMs = nowMs + AgentTimes.POLL_MS;
            leases.pollTasks();
        }
        if (draining && table.list(HeldPart::live).isEmpty()) {
            drained.complete(null);
        }
    }

    private void stopOrphans() {
        if (!stoppingOrphans.isDone()) {
            return;
        }
        if (stoppingOrphans.join()) {
            guard.acceptWork();
            accepting = true;
            return;
        }
        if (clock.nowMs() >= nextOrphanStopMs) {
            nextOrphanStopMs = clock.nowMs() + AgentTimes.TICK_MS;
            stoppingOrphans = orphans.stopOrphans();
        }
    }

    private void stopPartsWithoutEntryContact() {
        HomeLink link = home;
        if (link == null || link.sinceLastContactMs() <= AgentTimes.ENTRY_CONTACT_LIMIT_MS) {
            return;
        }
        for (HeldPart part : table.list(p -> p.live() && !isStopping(p))) {
            stopper.stop(part, 0, "no response from any entry for " + link.sinceLastContactMs() + " ms");
        }
    }

    private static boolean isStopping(HeldPart part) {
        return part.state == PartState.STOPPING;
    }

    @Override
    public boolean ready() {
        return accepting;
    }

    @Override
    public Load load() {
        return new Load(table.inUse(), 0, 0, failures.count());
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public PartReporter parts() {
        return table;
    }

    @Override
    public CompletableFuture<Void> drain() {
        guard.drain();
        draining = true;
        return drained;
    }

    @Override
    public CompletableFuture<Void> stopAll() {
        List<HeldPart> live = table.list(HeldPart::live);
        EVENTS.info("worker-stopping-all", "parts", live.size());
        live.forEach(p -> stopper.stop(p, 0, "the worker's agent is shutting down"));
        return PartStopper.whenAllEnded(live);
    }
}
