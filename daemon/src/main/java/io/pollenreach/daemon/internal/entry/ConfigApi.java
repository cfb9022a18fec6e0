package io.pollenreach.daemon.internal.entry;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.Kind;
import io.pollenreach.daemon.internal.entry.ConfigSnapshot.ConfigRow;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.TargetInfo;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * The resources that make up the configuration: workspaces, policies and the draining of targets.
 *
 * <p>Safe for use by many threads; it keeps no state.
 */
final class ConfigApi {
    private final Blackboard board;
    private final ConfigController config;
    private final Access access;
    private final Clock clock;
    private final int maxBodyBytes;

    ConfigApi(Blackboard board, ConfigController config, Access access, Clock clock, int maxBodyBytes) {
        this.board = board;
        this.config = config;
        this.access = access;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
    }

    void addTo(Chain chain) throws Exception {
        chain.path("workspaces", Endpoint.plain(ctx -> list(ctx, Kind.WORKSPACE)))
                .path(
                        "workspaces/:name",
                        ctx -> ctx.byMethod(m -> m.get(Endpoint.plain(c -> get(c, Kind.WORKSPACE)))
                                .put(Endpoint.withBody(maxBodyBytes, this::putWorkspace))
                                .delete(Endpoint.plain(this::deleteWorkspace))))
                .path("policies", Endpoint.plain(ctx -> list(ctx, Kind.POLICY)))
                .path(
                        "policies/:name",
                        ctx -> ctx.byMethod(m -> m.get(Endpoint.plain(c -> get(c, Kind.POLICY)))
                                .put(Endpoint.withBody(maxBodyBytes, this::putPolicy))))
                .path("targets", Endpoint.plain(this::targets))
                .path("targets/:name", Endpoint.plain(this::target))
                .path("targets/:name/:action", ctx -> ctx.byMethod(m -> m.post(Endpoint.plain(this::drain))));
    }

    private static String prefix(Kind kind) {
        return kind == Kind.WORKSPACE ? ConfigSnapshot.WORKSPACE : ConfigSnapshot.POLICY;
    }

    private CompletableFuture<Reply> list(Context ctx, Kind kind) {
        Optional<String> only = access.confinement(ctx);
        ArrayNode items = Json.lenient().createArrayNode();
        new TreeMap<>(board.config().get().rows(prefix(kind))).forEach((key, row) -> {
            String name = key.substring(prefix(kind).length());
            if (only.isEmpty() || kind == Kind.WORKSPACE && only.get().equals(name)) {
                items.add(envelope(kind, name, row));
            }
        });
        return done(items);
    }

    private CompletableFuture<Reply> get(Context ctx, Kind kind) {
        String name = ctx.getPathTokens().get("name");
        if (kind == Kind.WORKSPACE) {
            access.requireWorkspace(ctx, name);
        } else {
            access.requireOperator(ctx);
        }
        ConfigRow row = board.config()
                .get()
                .row(prefix(kind) + name)
                .orElseThrow(() -> new PollenreachException(ResultCode.NOT_FOUND, kind.text() + " " + name));
        return done(envelope(kind, name, row));
    }

    private CompletableFuture<Reply> putWorkspace(Context ctx, byte[] body) {
        access.requireOperator(ctx);
        String name = ctx.getPathTokens().get("name");
        Declaration d = Endpoint.declaration(body, Kind.WORKSPACE, Optional.empty(), name);
        ObjectNode spec = d.spec().deepCopy();
        spec.put("name", name);
        Workspace workspace = Json.lenient().convertValue(spec, Workspace.class);
        return config.putWorkspace(workspace, Endpoint.ifMatch(ctx))
                .thenApply(r -> Reply.json(envelope(Kind.WORKSPACE, name, r)));
    }

    private CompletableFuture<Reply> deleteWorkspace(Context ctx) {
        access.requireOperator(ctx);
        String name = ctx.getPathTokens().get("name");
        boolean used = !board.jobs()
                .list(r -> r.record().spec().workspace().equals(name)
                        && !r.record().state().terminal())
                .isEmpty();
        if (used) {
            throw new PollenreachException(ResultCode.IN_USE, "workspace " + name + " has jobs that have not ended");
        }
        return config.delete(ConfigSnapshot.WORKSPACE + name, Endpoint.ifMatch(ctx))
                .thenApply(v -> Reply.json(Json.lenient().createObjectNode().put("deleted", name)));
    }

    private CompletableFuture<Reply> putPolicy(Context ctx, byte[] body) {
        access.requireOperator(ctx);
        String name = ctx.getPathTokens().get("name");
        Declaration d = Endpoint.declaration(body, Kind.POLICY, Optional.empty(), name);
        return config.put(ConfigSnapshot.POLICY + name, d.spec(), Endpoint.ifMatch(ctx))
                .thenApply(r -> Reply.json(envelope(Kind.POLICY, name, r)));
    }

    private ObjectNode envelope(Kind kind, String name, ConfigRow row) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("kind", kind.text());
        node.put("name", name);
        node.put("version", row.version());
        JsonNode spec = row.value().deepCopy();
        if (kind == Kind.WORKSPACE) {
            ((ObjectNode) spec).remove("name");
        }
        node.set("spec", spec);
        ObjectNode status = node.putObject("status");
        boolean everywhere = config.versionInForceEverywhere() >= row.revision();
        status.put("state", everywhere ? "IN_FORCE" : "ACCEPTED");
        status.put("configVersion", row.revision());
        return node;
    }

    private CompletableFuture<Reply> targets(Context ctx) {
        access.requireOperator(ctx);
        ArrayNode items = Json.lenient().createArrayNode();
        Map<String, TargetInfo> known = new TreeMap<>();
        board.targets().live(clock.nowMs()).forEach(t -> known.put(t.id(), t));
        known.values().forEach(t -> items.add(target(t)));
        return done(items);
    }

    private CompletableFuture<Reply> target(Context ctx) {
        access.requireOperator(ctx);
        return done(target(find(ctx)));
    }

    private TargetInfo find(Context ctx) {
        String name = ctx.getPathTokens().get("name");
        return board.targets()
                .lastKnown(name)
                .orElseThrow(() -> new PollenreachException(ResultCode.NOT_FOUND, "target " + name));
    }

    private ObjectNode target(TargetInfo t) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("kind", "Target");
        node.put("name", t.id());
        node.set("spec", Json.lenient().valueToTree(t));
        boolean declared = board.config().get().draining().contains(t.id());
        boolean live = board.targets().live(clock.nowMs()).contains(t);
        String state = !live ? "SILENT" : declared || t.draining() ? "DRAINING" : "LIVE";
        node.putObject("status").put("state", state);
        return node;
    }

    private CompletableFuture<Reply> drain(Context ctx) {
        access.requireOperator(ctx);
        String name = ctx.getPathTokens().get("name");
        String key = ConfigSnapshot.DRAIN + name;
        switch (ctx.getPathTokens().get("action")) {
            case "drain":
                find(ctx);
                JsonNode on = Json.lenient().createObjectNode().put("draining", true);
                return config.put(key, on, Optional.empty()).thenApply(r -> Reply.json(target(find(ctx))));
            case "undrain":
                return config.delete(key, Optional.empty()).thenApply(v -> Reply.json(undrained(name)));
            default:
                throw new PollenreachException(ResultCode.NOT_FOUND, "there is drain and undrain");
        }
    }

    /** A target may be taken out of its drain while it is away, so that it need not be known. */
    private ObjectNode undrained(String name) {
        return board.targets().lastKnown(name).map(this::target).orElseGet(() -> {
            ObjectNode node = Json.lenient().createObjectNode();
            node.put("kind", "Target");
            node.put("name", name);
            node.putObject("status").put("state", "SILENT");
            return node;
        });
    }

    private static CompletableFuture<Reply> done(JsonNode node) {
        return CompletableFuture.completedFuture(Reply.json(node));
    }
}
