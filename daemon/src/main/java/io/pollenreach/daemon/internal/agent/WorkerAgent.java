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
 * A worker's part of the agent: the guards over one blackboard, and the loop that drives them.
 *
 * <p>Invariant: in every round parts that must stop are stopped before leases are renewed. {@link #tick()} is called from
 * one thread, everything else from any.
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
    private CompletableFuture<Boolean> clearing = CompletableFuture.completedFuture(false);
    private volatile boolean open;
    private long nextClearMs;
    private long nextBeatMs;
    private long nextRenewMs;
    private long nextPollMs;

    /**
     * Creates a worker's agent.
     *
     * @param id the target's name
     * @param accelerators how many accelerators the worker has
     * @param runtime the worker's runtime
     * @param rpc calls other agents
     * @param clock the clock of all leases
     */
    WorkerAgent(String id, int accelerators, TaskRuntime runtime, Rpc rpc, Clock clock) {
        this.clock = clock;
        incarnation = clock.wallMs();
        GangMember member = new GangMember(clock);
        GangLeader leader = new GangLeader(clock);
        failures = new FailureWindow(clock);
        table = new PartTable(clock, accelerators);
        stopper = new PartStopper(table, runtime, member, clock, this::changed);
        guard = new WorkerGuard(table, stopper, runtime, member, leader, failures, clock);
        gangs = new GangGuard(id, table, stopper, member, leader, rpc, clock);
        leases = new LeaseKeeper(table, stopper, runtime, failures, clock);
        orphans = new OrphanStopper(runtime);
    }

    private void changed() {
        HomeLink link = home;
        if (link != null) {
            link.beatSoon();
        }
    }

    @Override
    public void join(HomeLink link) {
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
        if (!open) {
            clearOrphans();
            return;
        }
        long nowMs = clock.nowMs();
        stopWhenCutOff();
        leases.dropLapsed();
        gangs.enforce();
        stopper.tick();
        if (nowMs >= nextBeatMs) {
            nextBeatMs = nowMs + GangTimes.HEARTBEAT_INTERVAL_MS;
            gangs.beat();
        }
        if (nowMs >= nextRenewMs) {
            nextRenewMs = nowMs + AgentTimes.RENEW_MS;
            leases.renew();
        }
        if (nowMs >= nextPollMs) {
            nextPollMs = nowMs + AgentTimes.POLL_MS;
            leases.poll();
        }
        if (draining && table.list(HeldPart::live).isEmpty()) {
            drained.complete(null);
        }
    }

    private void clearOrphans() {
        if (!clearing.isDone()) {
            return;
        }
        if (clearing.join()) {
            guard.open();
            open = true;
            return;
        }
        if (clock.nowMs() >= nextClearMs) {
            nextClearMs = clock.nowMs() + AgentTimes.TICK_MS;
            clearing = orphans.attempt();
        }
    }

    private void stopWhenCutOff() {
        HomeLink link = home;
        if (link == null || link.silenceMs() <= AgentTimes.ENTRIES_SILENCE_MS) {
            return;
        }
        for (HeldPart part : table.list(p -> p.live() && !stopping(p))) {
            stopper.stop(part, 0, "no entry has answered for " + link.silenceMs() + " ms");
        }
    }

    private static boolean stopping(HeldPart part) {
        return part.state == PartState.STOPPING;
    }

    @Override
    public boolean ready() {
        return open;
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
        EVENTS.info("worker-leaves", "parts", live.size());
        live.forEach(p -> stopper.stop(p, 0, "the worker's agent is shutting down"));
        return PartStopper.allEnded(live);
    }
}
