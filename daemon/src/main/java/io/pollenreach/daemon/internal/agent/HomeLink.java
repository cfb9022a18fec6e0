package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.TargetInfo;

/**
 * Announces the target to its home entry.
 *
 * <p>Invariants: at most one heartbeat is in flight; after a change of home or a failed heartbeat the next one lists
 * every part; the configuration version never goes back. Safe for use by many threads; its own lock is never held during
 * a call.
 */
final class HomeLink {
    private static final Events EVENTS = Events.of(HomeLink.class);
    private static final long TIMEOUT_MS = 2 * AgentTimes.HEARTBEAT_MS;

    private static final int LEAVE_ATTEMPTS = 3;

    private final AgentSettings settings;
    private final String address;
    private final Rpc rpc;
    private final Clock clock;
    private final Executor executor;
    private final TargetAgent target;

    private boolean inFlight;
    private boolean again;
    private boolean whole = true;
    private boolean draining;
    private boolean toldToDrain;
    private boolean left;
    private int failures;
    private long sequence;
    private long reportedVersion;
    private long configVersion;
    private JsonNode config;
    private String home;
    private List<String> entries = List.of();
    private long answeredMs;
    private boolean answered;

    private record Beat(String to, Heartbeat message, long partsVersion, long sentMs) {}

    HomeLink(AgentSettings settings, String address, Rpc rpc, Clock clock, Executor executor, TargetAgent target) {
        this.settings = settings;
        this.address = address;
        this.rpc = rpc;
        this.clock = clock;
        this.executor = executor;
        this.target = target;
        answeredMs = clock.nowMs();
    }

    /** Sends a heartbeat unless one is in flight. */
    void sendHeartbeat() {
        Beat beat;
        synchronized (this) {
            if (inFlight || left) {
                return;
            }
            beat = next(false);
            inFlight = true;
            again = false;
        }
        send(beat);
    }

    /** Sends a heartbeat as soon as none is in flight. */
    void requestHeartbeat() {
        synchronized (this) {
            again = true;
            if (inFlight) {
                return;
            }
        }
        executor.execute(this::sendHeartbeat);
    }

    private Beat next(boolean leaving) {
        sequence++;
        PartChanges changes = target.parts().changes(reportedVersion, whole);
        TargetInfo info = new TargetInfo(
                settings.id(),
                target.incarnation(),
                sequence,
                settings.kind(),
                settings.service(),
                settings.zone(),
                settings.rack(),
                address,
                settings.accelerators(),
                settings.slots(),
                target.load(),
                draining || toldToDrain);
        Heartbeat message = new Heartbeat(info, changes.parts(), whole, configVersion, leaving);
        return new Beat(receiver(), message, changes.version(), clock.nowMs());
    }

    /** Picks the home, or after failures the other entries and then those of the settings in turn. */
    private String receiver() {
        List<String> others = new ArrayList<>(entries);
        others.remove(home);
        int start = others.isEmpty() ? 0 : Math.floorMod(settings.id().hashCode(), others.size());
        LinkedHashSet<String> order = new LinkedHashSet<>();
        Optional.ofNullable(home).ifPresent(order::add);
        // Agents that lose the same home start at different entries.
        order.addAll(others.subList(start, others.size()));
        order.addAll(others.subList(0, start));
        order.addAll(settings.entries());
        return List.copyOf(order).get(failures % order.size());
    }

    private CompletableFuture<HeartbeatReply> send(Beat beat) {
        return rpc.call(beat.to(), beat.message(), HeartbeatReply.class, TIMEOUT_MS)
                .whenComplete((reply, t) -> {
                    if (t == null) {
                        adopt(beat, reply);
                    } else {
                        fail(beat, t);
                    }
                    if (done()) {
                        executor.execute(this::sendHeartbeat);
                    }
                });
    }

    private synchronized boolean done() {
        inFlight = false;
        return again;
    }

    private void adopt(Beat beat, HeartbeatReply reply) {
        synchronized (this) {
            String next = reply.home() == null ? beat.to() : reply.home();
            if (!next.equals(home)) {
                EVENTS.info("home-changed", "from", home, "to", next, "named-by", beat.to());
            }
            home = next;
            whole = !next.equals(beat.to());
            failures = 0;
            answered = true;
            answeredMs = Math.max(answeredMs, beat.sentMs());
            entries = reply.entries();
            reportedVersion = beat.partsVersion();
            adoptConfig(reply);
        }
        target.parts().forgetEnded(beat.partsVersion(), reply.settled());
    }

    private void adoptConfig(HeartbeatReply reply) {
        if (reply.config() == null || reply.configVersion() <= configVersion) {
            return;
        }
        EVENTS.info("config-adopted", "from", configVersion, "to", reply.configVersion());
        configVersion = reply.configVersion();
        config = reply.config();
        toldToDrain = config.path("draining").asBoolean(false);
    }

    private synchronized void fail(Beat beat, Throwable t) {
        whole = true;
        if (PollenreachException.of(t).code() == ResultCode.UNKNOWN_PART) {
            // The entry lives but has no whole list to apply the changes to.
            again = true;
            return;
        }
        failures++;
        EVENTS.warn("heartbeat-failed", "to", beat.to(), "failures", failures, "why", t.getMessage());
    }

    /** Announces from now on that the target takes no new work. */
    void drain() {
        synchronized (this) {
            draining = true;
        }
        requestHeartbeat();
    }

    /** Announces that the target goes; completes when an entry has heard it or several calls have failed. */
    CompletableFuture<Void> announceDeparture() {
        return announceDeparture(LEAVE_ATTEMPTS);
    }

    private CompletableFuture<Void> announceDeparture(int attempts) {
        Beat beat;
        synchronized (this) {
            draining = true;
            left = true;
            beat = next(true);
        }
        return send(beat)
                .handle((reply, t) -> t != null && attempts > 1)
                .thenCompose(retry -> retry ? announceDeparture(attempts - 1) : CompletableFuture.completedFuture(null));
    }

    /** Returns the milliseconds since the last heartbeat that an entry answered was sent, or since the start. */
    synchronized long sinceLastContactMs() {
        return clock.nowMs() - answeredMs;
    }

    /** Tells whether any entry has answered yet. */
    synchronized boolean connected() {
        return answered && failures == 0;
    }

    /** Returns the configuration in force at this agent. */
    synchronized Optional<JsonNode> config() {
        return Optional.ofNullable(config);
    }

    /** Returns the configuration version in force at this agent; 0 before the first. */
    synchronized long configVersion() {
        return configVersion;
    }
}
