package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.entry.ConfigSnapshot.ConfigRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.daemon.internal.services.Table;
import io.pollenreach.daemon.internal.services.Write;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.placement.GuaranteeCheck;
import io.pollenreach.internal.wire.PeerState;
import io.pollenreach.internal.wire.PeerStateRequest;

/**
 * Keeps the configuration in force up to date, and writes changes of it.
 *
 * <p>Invariants: a change is accepted only by a transaction on the versions that it was checked against; two changes of
 * guarantees can't both be accepted unless they fit together, since both rewrite one row. Safe for use by many threads.
 */
final class ConfigController {
    static final long POLL_MS = 500;
    private static final long PULL_TIMEOUT_MS = 1_000;
    private static final int MAX_WRITE_ROUNDS = 5;

    private static final Events EVENTS = Events.of(ConfigController.class);

    private final Blackboard board;
    private final Table table;
    private final ClusterViews views;
    private final Rpc rpc;
    private final Clock clock;
    private final Runnable changed;
    private final AtomicBoolean polling = new AtomicBoolean();

    ConfigController(Blackboard board, Table table, ClusterViews views, Rpc rpc, Clock clock, Runnable changed) {
        this.board = board;
        this.table = table;
        this.views = views;
        this.rpc = rpc;
        this.clock = clock;
        this.changed = changed;
    }

    /** Reads the changed rows from the platform; pulls from the peers when the platform does not respond. */
    void poll() {
        if (!polling.compareAndSet(false, true)) {
            return;
        }
        refresh().whenComplete((v, t) -> {
            polling.set(false);
            if (t != null) {
                pullFromPeers();
            }
        });
    }

    private CompletableFuture<Void> refresh() {
        long since = board.config().get().version();
        return table.list(ConfigSnapshot.TABLE, "", since).thenAccept(list -> {
            if (board.config().apply(list)) {
                inForce("platform");
            }
        });
    }

    private void inForce(String from) {
        EVENTS.info("config-in-force", "version", board.config().get().version(), "from", from);
        changed.run();
    }

    private void pullFromPeers() {
        for (EntryInfo peer : board.entries().peers(clock.nowMs())) {
            pull(peer.address());
        }
    }

    /** Pulls configuration, tombstones and the time of the last entry loss from a peer and adopts them. */
    CompletableFuture<Void> pull(String peer) {
        return rpc.call(peer, new PeerStateRequest(""), PeerState.class, PULL_TIMEOUT_MS)
                .thenAccept(s -> {
                    board.requests().addPeerTombstones(s.tombstones());
                    Optional.ofNullable(s.lossAgoMs())
                            .ifPresent(ago -> board.entries().lost(ago, clock.nowMs()));
                    boolean peerKnows = s.config() != null && !s.config().isNull();
                    if (peerKnows && board.config().adopt(ConfigSnapshot.fromJson(s.configVersion(), s.config()))) {
                        inForce(peer);
                    }
                });
    }

    /** Returns this entry's state for a peer that pulls it. */
    PeerState state() {
        ConfigSnapshot config = board.config().get();
        JsonNode known = board.config().known() ? config.toJson() : null;
        long now = clock.nowMs();
        long steadySince = board.entries().steadySinceMs(now);
        Long lossAgoMs = steadySince == Long.MIN_VALUE ? null : Long.valueOf(now - steadySince);
        return new PeerState(config.version(), known, board.requests().tombstones(), lossAgoMs);
    }

    /** Returns the version that every live process is known to have in force. */
    long versionInForceEverywhere() {
        long now = clock.nowMs();
        long peers = board.agentVersions().lowestPeer(a -> isPeer(a, now));
        long agents = board.lowestAgentVersion(now);
        return Math.min(board.config().get().version(), Math.min(peers, agents));
    }

    private boolean isPeer(String address, long now) {
        return board.entries().peers(now).stream().anyMatch(p -> p.address().equals(address));
    }

    /** Declares a workspace; {@code expected} is the version that the caller read, if it named one. */
    CompletableFuture<ConfigRow> putWorkspace(Workspace workspace, Optional<Long> expected) {
        JsonNode value = Json.lenient().valueToTree(workspace);
        return put(ConfigSnapshot.WORKSPACE + workspace.name(), value, expected, Optional.of(workspace), 1);
    }

    /** Declares any other row. */
    CompletableFuture<ConfigRow> put(String key, JsonNode value, Optional<Long> expected) {
        return put(key, value, expected, Optional.empty(), 1);
    }

    private CompletableFuture<ConfigRow> put(
            String key, JsonNode value, Optional<Long> expected, Optional<Workspace> workspace, int round) {
        return refresh().thenCompose(v -> {
            ConfigSnapshot config = board.config().get();
            Optional<ConfigRow> old = config.row(key);
            if (old.filter(r -> r.value().equals(value)).isPresent()) {
                return CompletableFuture.completedFuture(old.get());
            }
            checkVersion(key, old, expected);
            workspace.ifPresent(w -> checkGuarantees(config, w));
            List<Write> writes = new ArrayList<>();
            writes.add(new Write(
                    ConfigSnapshot.TABLE, key, old.map(ConfigRow::version).orElse(0L), value));
            if (workspace.filter(w -> guaranteesChange(config, w)).isPresent()) {
                writes.add(guaranteesWrite(config));
            }
            return table.transact(writes)
                    .handle((versions, t) -> t == null
                            ? written(key)
                            : notWritten(key, value, expected, workspace, round, PollenreachException.of(t)))
                    .thenCompose(f -> f);
        });
    }

    private static void checkVersion(String key, Optional<ConfigRow> old, Optional<Long> expected) {
        long version = old.map(ConfigRow::version).orElse(0L);
        if (expected.isPresent() && expected.get() != version) {
            throw new PollenreachException(
                    ResultCode.CONFLICT, "version", key + " has version " + version + ", not " + expected.get());
        }
        if (expected.isEmpty() && old.isPresent()) {
            throw new PollenreachException(ResultCode.EXISTS, "version", key + " has version " + version);
        }
    }

    private static Write guaranteesWrite(ConfigSnapshot config) {
        long version =
                config.row(ConfigSnapshot.GUARANTEES).map(ConfigRow::version).orElse(0L);
        JsonNode value = Json.lenient().createObjectNode().put("changes", version + 1);
        return new Write(ConfigSnapshot.TABLE, ConfigSnapshot.GUARANTEES, version, value);
    }

    private static boolean guaranteesChange(ConfigSnapshot config, Workspace next) {
        List<?> old = config.workspace(next.name()).map(Workspace::guarantees).orElse(List.of());
        return !old.equals(next.guarantees());
    }

    private void checkGuarantees(ConfigSnapshot config, Workspace next) {
        if (!guaranteesChange(config, next) || next.guarantees().isEmpty()) {
            return;
        }
        Map<String, Workspace> all = new HashMap<>(config.workspaces());
        all.put(next.name(), next);
        GuaranteeCheck.firstUnmet(views.snapshot(Map.of()).workers(), all.values())
                .ifPresent(u -> {
                    throw new PollenreachException(
                            ResultCode.GUARANTEE_INFEASIBLE,
                            "spec.guarantees",
                            "the guarantee " + u.shape() + " of " + u.workspace() + " does not fit");
                });
    }

    private CompletableFuture<ConfigRow> written(String key) {
        return refresh().handle((v, t) -> {
            if (t != null) {
                // Any other code would say that nothing was accepted.
                throw new PollenreachException(
                        ResultCode.WRITE_UNKNOWN, null, key + " was written and cannot be read back", t);
            }
            return board.config()
                    .get()
                    .row(key)
                    .orElseThrow(() -> new PollenreachException(ResultCode.CONFLICT, key + " was deleted meanwhile"));
        });
    }

    private CompletableFuture<ConfigRow> notWritten(
            String key,
            JsonNode value,
            Optional<Long> expected,
            Optional<Workspace> workspace,
            int round,
            PollenreachException e) {
        boolean resolvable = e.code() == ResultCode.CONFLICT || e.code() == ResultCode.WRITE_UNKNOWN;
        if (!resolvable || round >= MAX_WRITE_ROUNDS) {
            return CompletableFuture.failedFuture(e);
        }
        // The next round finds the row as it was written, or written by someone else, or still free.
        return put(key, value, expected, workspace, round + 1)
                .exceptionallyCompose(t -> CompletableFuture.failedFuture(unresolved(e, PollenreachException.of(t))));
    }

    private static PollenreachException unresolved(PollenreachException first, PollenreachException then) {
        boolean perhapsWritten = first.code() == ResultCode.WRITE_UNKNOWN;
        return perhapsWritten && then.code() == ResultCode.PLATFORM_UNAVAILABLE ? first : then;
    }

    /** Deletes a row; does nothing when there is none. */
    CompletableFuture<Void> delete(String key, Optional<Long> expected) {
        return refresh().thenCompose(v -> {
            ConfigSnapshot config = board.config().get();
            Optional<ConfigRow> old = config.row(key);
            if (old.isEmpty()) {
                return CompletableFuture.<Void>completedFuture(null);
            }
            checkVersion(key, old, Optional.of(expected.orElse(old.get().version())));
            Write write = new Write(ConfigSnapshot.TABLE, key, old.get().version(), null);
            return table.put(write).thenCompose(w -> refresh().exceptionally(t -> {
                EVENTS.warn("config-deleted-unread", "key", key, "error", String.valueOf(t.getMessage()));
                return null;
            }));
        });
    }
}
