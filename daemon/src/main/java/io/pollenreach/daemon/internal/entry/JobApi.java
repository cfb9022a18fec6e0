package io.pollenreach.daemon.internal.entry;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Clock;
import io.pollenreach.JobSpec;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.Kind;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Serves the {@code jobs} resource of the HTTP API: list, get, submit and cancel.
 *
 * <p>Invariant: a submission succeeds only after the row of the job was written. Safe for use by many
 * threads; it keeps no state.
 */
final class JobApi {
    private static final long MAX_WAIT_MS = 30_000;
    private static final int MAX_CANCEL_TRIES = 10;

    private final Blackboard blackboard;
    private final JobStore store;
    private final JobController jobs;
    private final Access access;
    private final Clock clock;
    private final int maxBodyBytes;

    JobApi(Blackboard blackboard, JobStore store, JobController jobs, Access access, Clock clock, int maxBodyBytes) {
        this.blackboard = blackboard;
        this.store = store;
        this.jobs = jobs;
        this.access = access;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
    }

    void addTo(Chain chain) throws Exception {
        chain.path("jobs", Endpoint.plain(this::list))
                .path(
                        "jobs/:workspace/:name",
                        ctx -> ctx.byMethod(m ->
                                m.get(Endpoint.plain(this::get)).put(Endpoint.withBody(maxBodyBytes, this::submit))))
                .path("jobs/:workspace/:name/cancel", ctx -> ctx.byMethod(m -> m.post(Endpoint.plain(this::cancel))));
    }

    private CompletableFuture<Reply> list(Context ctx) {
        String requested = ctx.getRequest().getQueryParams().get("workspace");
        Optional<String> callerWorkspace = access.confinement(ctx);
        if (callerWorkspace.isPresent() && requested != null && !requested.equals(callerWorkspace.get())) {
            access.requireWorkspace(ctx, requested);
        }
        String workspaceFilter = callerWorkspace.orElse(requested);
        ArrayNode items = Json.lenient().createArrayNode();
        blackboard
                .jobs()
                .list(r ->
                        workspaceFilter == null || r.record().spec().workspace().equals(workspaceFilter))
                .stream()
                .sorted(Comparator.comparing(JobRow::key))
                .forEach(r -> items.add(envelope(r)));
        return CompletableFuture.completedFuture(Reply.json(items));
    }

    private CompletableFuture<Reply> get(Context ctx) {
        String key = key(ctx);
        Optional<Long> since = Endpoint.number(ctx.getRequest().getQueryParams().get("since"), "since", Long.MAX_VALUE);
        long waitMs = Endpoint.number(ctx.getRequest().getQueryParams().get("waitMs"), "waitMs", MAX_WAIT_MS)
                .orElse(0L);
        if (since.isEmpty() || waitMs == 0) {
            return find(key).thenApply(r -> Reply.json(envelope(r)));
        }
        return find(key).thenCompose(r -> r.version() > since.get() ? reply(r) : await(key, since.get(), waitMs));
    }

    private CompletableFuture<Reply> await(String key, long since, long waitMs) {
        CompletableFuture<Void> newer = blackboard.jobs().whenNewerThan(key, since);
        return newer.orTimeout(waitMs, TimeUnit.MILLISECONDS)
                .handle((v, t) -> {
                    blackboard.jobs().removeWatcher(key, newer);
                    return null;
                })
                .thenCompose(v -> find(key))
                .thenCompose(JobApi::reply);
    }

    private static CompletableFuture<Reply> reply(JobRow row) {
        return CompletableFuture.completedFuture(Reply.json(envelope(row)));
    }

    private String key(Context ctx) {
        String workspace = ctx.getPathTokens().get("workspace");
        access.requireWorkspace(ctx, workspace);
        return workspace + "/" + ctx.getPathTokens().get("name");
    }

    private CompletableFuture<JobRow> find(String key) {
        Optional<JobRow> known = blackboard.jobs().get(key);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known.get());
        }
        return store.read(key)
                .thenApply(r -> r.orElseThrow(() -> new PollenreachException(ResultCode.NOT_FOUND, "job " + key)));
    }

    private CompletableFuture<Reply> submit(Context ctx, byte[] body) {
        String key = key(ctx);
        JobSpec spec = spec(ctx, body);
        checkQuota(blackboard.config().get(), spec);
        JobRecord record = JobRecord.submit(spec, clock.wallMs());
        return store.create(record)
                .handle((row, t) -> t == null
                        ? CompletableFuture.completedFuture(row)
                        : resolveConflict(key, spec, PollenreachException.of(t)))
                .thenCompose(f -> f)
                .thenApply(row -> {
                    jobs.notifyPlanner(key);
                    return Reply.json(envelope(row));
                });
    }

    /** Reads the declaration of a job that a call carries, whose path names workspace and job. */
    static JobSpec spec(Context ctx, byte[] body) {
        String workspace = ctx.getPathTokens().get("workspace");
        Declaration d = Endpoint.declaration(
                body, Kind.JOB, Optional.of(workspace), ctx.getPathTokens().get("name"));
        ObjectNode node = d.spec().deepCopy();
        node.put("workspace", workspace);
        node.put("name", d.name());
        return Json.lenient().convertValue(node, JobSpec.class);
    }

    /** Fails when the job's workspace is unknown, or may not use as many accelerators. */
    static void checkQuota(ConfigSnapshot config, JobSpec spec) {
        Workspace w = config.workspace(spec.workspace())
                .orElseThrow(() -> new PollenreachException(
                        ResultCode.NOT_FOUND, "workspace", "no workspace " + spec.workspace()));
        if (spec.shape().accelerators() > w.maxAccelerators()) {
            throw new PollenreachException(
                    ResultCode.OVER_QUOTA,
                    "spec.shape",
                    spec.shape().accelerators() + " accelerators; the workspace may use " + w.maxAccelerators());
        }
    }

    private CompletableFuture<JobRow> resolveConflict(String key, JobSpec spec, PollenreachException e) {
        if (e.code() != ResultCode.CONFLICT) {
            return CompletableFuture.failedFuture(e);
        }
        return store.read(key).thenApply(found -> {
            JobRow row = found.orElseThrow(() -> e);
            if (row.record().spec().equals(spec)) {
                return row;
            }
            throw new PollenreachException(
                    ResultCode.EXISTS, "name", "job " + key + " exists with a different specification");
        });
    }

    private CompletableFuture<Reply> cancel(Context ctx) {
        String key = key(ctx);
        return cancel(key, 1).thenApply(row -> {
            jobs.notifyPlanner(key);
            return Reply.json(envelope(row));
        });
    }

    private CompletableFuture<JobRow> cancel(String key, int tryNumber) {
        return store.read(key).thenCompose(found -> {
            JobRow row = found.orElseThrow(() -> new PollenreachException(ResultCode.NOT_FOUND, "job " + key));
            if (row.record().state().terminal()) {
                return CompletableFuture.completedFuture(row);
            }
            long wallMs = clock.wallMs();
            return store.update(row, j -> j.cancel(wallMs)).exceptionallyCompose(t -> {
                boolean conflicted = PollenreachException.of(t).code() == ResultCode.CONFLICT;
                return conflicted && tryNumber < MAX_CANCEL_TRIES
                        ? cancel(key, tryNumber + 1)
                        : CompletableFuture.failedFuture(t);
            });
        });
    }

    private static ObjectNode envelope(JobRow row) {
        JobRecord job = row.record();
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("kind", Kind.JOB.text());
        node.put("workspace", job.spec().workspace());
        node.put("name", job.spec().name());
        node.put("version", row.version());
        ObjectNode spec = Json.lenient().valueToTree(job.spec());
        spec.remove("workspace");
        spec.remove("name");
        node.set("spec", spec);
        ObjectNode status = node.putObject("status");
        status.put("state", job.state().name());
        status.put("attempt", job.attempt());
        ArrayNode placement = status.putArray("placement");
        job.parts().forEach(p -> placement.addObject().put("rank", p.rank()).put("worker", p.worker()));
        status.put("code", job.code());
        status.put("detail", job.detail());
        status.put("borrowed", job.borrowed());
        status.put("lostAttempts", job.lostAttempts());
        status.put("submittedAtMs", job.submittedAtMs());
        status.put("startedAtMs", job.startedAtMs());
        status.put("endedAtMs", job.endedAtMs());
        return node;
    }
}
