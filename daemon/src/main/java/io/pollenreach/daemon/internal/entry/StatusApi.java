package io.pollenreach.daemon.internal.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.JobState;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Status, metrics, health and readiness of an entry.
 *
 * <p>Safe for use by many threads; it keeps no state.
 */
final class StatusApi {
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    private final Blackboard board;
    private final ConfigController config;
    private final RequestController requests;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;
    private final EntryInfo self;
    private final Clock clock;

    StatusApi(
            Blackboard board,
            ConfigController config,
            RequestController requests,
            PrometheusMeterRegistry metrics,
            BooleanSupplier ready,
            EntryInfo self,
            Clock clock) {
        this.board = board;
        this.config = config;
        this.requests = requests;
        this.metrics = metrics;
        this.ready = ready;
        this.self = self;
        this.clock = clock;
    }

    void addTo(Chain chain) throws Exception {
        chain.path("v1/status", Endpoint.plain(this::status))
                .path("health", ctx -> Reply.text(200, "ok\n").send(ctx))
                .path("ready", this::ready)
                .path("metrics", ctx -> ctx.getResponse().send(PROMETHEUS, metrics.scrape()));
    }

    private void ready(Context ctx) {
        boolean yes = ready.getAsBoolean();
        Reply.text(yes ? 200 : 503, yes ? "ready\n" : "not ready\n").send(ctx);
    }

    private CompletableFuture<Reply> status(Context ctx) {
        long now = clock.nowMs();
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("entry", self.address());
        node.put("ready", ready.getAsBoolean());
        node.put("configVersion", board.config().get().version());
        node.put("configVersionInForce", config.versionInForceEverywhere());
        node.put("planner", board.entries().planner(now));
        ArrayNode entries = node.putArray("entries");
        board.entries().live(now).forEach(e -> entries.add(e.address()));
        ObjectNode targets = node.putObject("targets");
        for (TargetKind kind : TargetKind.values()) {
            targets.put(kind.name(), count(kind, now));
        }
        ObjectNode jobs = node.putObject("jobs");
        for (JobState state : JobState.values()) {
            jobs.put(state.name(), count(state));
        }
        node.put("requestsUnderWay", requests.pendingCount());
        node.put("requestsWaiting", requests.waitingCount());
        return CompletableFuture.completedFuture(Reply.json(node));
    }

    private int count(TargetKind kind, long now) {
        int n = 0;
        for (TargetInfo t : board.targets().live(now)) {
            n += t.kind() == kind ? 1 : 0;
        }
        return n;
    }

    private int count(JobState state) {
        return board.jobs().list(r -> r.record().state() == state).size();
    }
}
