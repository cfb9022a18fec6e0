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
 * Sends the target's heartbeats to its home entry, which the responses name, and applies the responses.
 *
 * <p>Invariants: at most one heartbeat is in flight; after a change of the home entry or a failed heartbeat the next
 * one lists every part; the configuration version never decreases. Safe for use by many threads; its own lock is never
 * held during a call.
 */
final class HomeLink {
    private static final Events EVENTS = Events.of(HomeLink.class);
    private static final long TIMEOUT_MS = 2 * AgentTimes.HEARTBEAT_MS;
    /** How often the announcement that the target leaves is tried; each try may go to another entry. */
    private static final int DEPARTURE_ATTEMPTS = 3;

    private volatile AgentSettings settings;
    private final String address;
    private final Rpc rpc;
    private final Clock clock;
    private final Executor executor;
    private final TargetAgent target;

    private boolean inFlight;
    private boolean sendAgain;
    private boolean whole = true;
    private boolean draining;
    private boolean drainRequested;
    private boolean departing;
    private int failures;
    private long sequence;
    private long reportedVersion;
    private long configVersion;
    private JsonNode config;
    private String homeEntry;
    private List<String> entries = List.of();
    private long lastContactMs;
    private boolean everAnswered;

    private record OutgoingHeartbeat(String to, Heartbeat message, long partsVersion, long sentMs) {}

    HomeLink(AgentSettings settings, String address, Rpc rpc, Clock clock, Executor executor, TargetAgent target) {
        this.settings = settings;
        this.address = address;
        this.rpc = rpc;
        this.clock = clock;
        this.executor = executor;
        this.target = target;
        lastContactMs = clock.nowMs();
    }

    /** Puts changed settings in force. */
    void reload(AgentSettings next) {
        settings = next;
    }

    /** Sends a heartbeat unless one is in flight. */
    void sendHeartbeat() {
        OutgoingHeartbeat heartbeat;
        synchronized (this) {
            if (inFlight || departing) {
                return;
            }
            heartbeat = nextHeartbeat(false);
            inFlight = true;
            sendAgain = false;
        }
        send(heartbeat);
    }

    /** Sends a heartbeat now, or as soon as the one in flight has ended. */
    void requestHeartbeat() {
        synchronized (this) {
            sendAgain = true;
            if (inFlight) {
                return;
            }
        }
        executor.execute(this::sendHeartbeat);
    }

    private OutgoingHeartbeat nextHeartbeat(boolean leaving) {
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
                draining || drainRequested);
        Heartbeat message = new Heartbeat(info, changes.parts(), whole, configVersion, leaving);
        return new OutgoingHeartbeat(chooseReceiver(), message, changes.version(), clock.nowMs());
    }

    /** Returns the home entry; after failures, in turn, the other known entries and then those of the settings. */
    private String chooseReceiver() {
        List<String> others = new ArrayList<>(entries);
        others.remove(homeEntry);
        int start = others.isEmpty() ? 0 : Math.floorMod(settings.id().hashCode(), others.size());
        LinkedHashSet<String> candidates = new LinkedHashSet<>();
        Optional.ofNullable(homeEntry).ifPresent(candidates::add);
        // Agents that lose the same home entry go on to different entries, which spreads the load.
        candidates.addAll(others.subList(start, others.size()));
        candidates.addAll(others.subList(0, start));
        candidates.addAll(settings.entries());
        return List.copyOf(candidates).get(failures % candidates.size());
    }

    private CompletableFuture<HeartbeatReply> send(OutgoingHeartbeat heartbeat) {
        return rpc.call(heartbeat.to(), heartbeat.message(), HeartbeatReply.class, TIMEOUT_MS)
                .whenComplete((reply, t) -> {
                    if (t == null) {
                        onResponse(heartbeat, reply);
                    } else {
                        onFailure(heartbeat, t);
                    }
                    if (endCall()) {
                        executor.execute(this::sendHeartbeat);
                    }
                });
    }

    private synchronized boolean endCall() {
        inFlight = false;
        return sendAgain;
    }

    private void onResponse(OutgoingHeartbeat heartbeat, HeartbeatReply reply) {
        synchronized (this) {
            String next = reply.home() == null ? heartbeat.to() : reply.home();
            if (!next.equals(homeEntry)) {
                EVENTS.info("home-changed", "from", homeEntry, "to", next, "named-by", heartbeat.to());
            }
            homeEntry = next;
            whole = !next.equals(heartbeat.to());
            failures = 0;
            everAnswered = true;
            lastContactMs = Math.max(lastContactMs, heartbeat.sentMs());
            entries = reply.entries();
            reportedVersion = heartbeat.partsVersion();
            adoptConfig(reply);
        }
        target.parts().forgetEnded(heartbeat.partsVersion(), reply.settled());
    }

    private void adoptConfig(HeartbeatReply reply) {
        if (reply.config() == null || reply.configVersion() <= configVersion) {
            return;
        }
        EVENTS.info("config-adopted", "from", configVersion, "to", reply.configVersion());
        configVersion = reply.configVersion();
        config = reply.config();
        drainRequested = config.path("draining").asBoolean(false);
    }

    private synchronized void onFailure(OutgoingHeartbeat heartbeat, Throwable t) {
        whole = true;
        if (PollenreachException.of(t).code() == ResultCode.UNKNOWN_PART) {
            // The entry responds but has no full list of parts to apply the changes to; send one at once.
            sendAgain = true;
            return;
        }
        failures++;
        EVENTS.warn("heartbeat-failed", "to", heartbeat.to(), "failures", failures, "why", t.getMessage());
    }

    /** Announces from now on that the target accepts no new work. */
    void drain() {
        synchronized (this) {
            draining = true;
        }
        requestHeartbeat();
    }

    /** Announces that the target leaves; completes when an entry has responded or all attempts have failed. */
    CompletableFuture<Void> announceDeparture() {
        return announceDeparture(DEPARTURE_ATTEMPTS);
    }

    private CompletableFuture<Void> announceDeparture(int attempts) {
        OutgoingHeartbeat heartbeat;
        synchronized (this) {
            draining = true;
            departing = true;
            heartbeat = nextHeartbeat(true);
        }
        return send(heartbeat)
                .handle((reply, t) -> t != null && attempts > 1)
                .thenCompose(
                        retry -> retry ? announceDeparture(attempts - 1) : CompletableFuture.completedFuture(null));
    }

    /** Returns the milliseconds since the last successful heartbeat was sent, or since the start if there was none. */
    synchronized long sinceLastContactMs() {
        return clock.nowMs() - lastContactMs;
    }

    /** Tells whether an entry has responded and no heartbeat has failed since the last response. */
    synchronized boolean connected() {
        return everAnswered && failures == 0;
    }

    /** Returns the configuration in force at this agent. */
    synchronized Optional<JsonNode> config() {
        return Optional.ofNullable(config);
    }

    /** Returns the version of the configuration in force at this agent; 0 before the first one was received. */
    synchronized long configVersion() {
        return configVersion;
    }
}
