package io.pollenreach.daemon.internal.batch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.JobOutlook;
import io.pollenreach.internal.batch.PoolWorkerVerdict;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.preview.Shortlist;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Answers why the waiting tasks of a job wait, by the path token {@code job}.
 *
 * <p>Invariants: an answer names at most {@link #MAX_CANDIDATES} workers for a step and counts all by their verdicts; one
 * question is asked at a time, so that the scheduler has at most one to answer. Safe for use by many threads.
 */
public final class WhereHandler implements Handler {
    /** How many workers an answer names for each step. */
    static final int MAX_CANDIDATES = 20;

    private final Function<String, CompletableFuture<Optional<JobOutlook>>> outlooks;
    private final AtomicBoolean asking = new AtomicBoolean();

    /** Creates a handler that asks by {@code outlooks}. */
    public WhereHandler(Function<String, CompletableFuture<Optional<JobOutlook>>> outlooks) {
        this.outlooks = outlooks;
    }

    @Override
    public void handle(Context ctx) {
        if (!asking.compareAndSet(false, true)) {
            fail(ctx, new PollenreachException(ResultCode.OVERLOADED, "another question is being answered"));
            return;
        }
        String job = ctx.getPathTokens().get("job");
        CompletableFuture<Optional<JobOutlook>> question =
                outlooks.apply(job).whenComplete((o, t) -> asking.set(false));
        // The answer is written on the server's thread: the one that completes the question is the scheduler's.
        Promise.<Optional<JobOutlook>>async(down -> down.accept(question))
                .map(o -> toJson(o.orElseThrow(() -> new PollenreachException(ResultCode.NOT_FOUND, "job " + job))))
                .onError(t -> fail(ctx, PollenreachException.of(t)))
                .then(node -> send(ctx, node));
    }

    private static ObjectNode toJson(JobOutlook outlook) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("job", outlook.job());
        node.put("phase", outlook.phase().name());
        node.put("waitingSteps", outlook.waitingSteps());
        ArrayNode steps = node.putArray("steps");
        outlook.steps().forEach(s -> addStep(steps.addObject(), s));
        return node;
    }

    private static void addStep(ObjectNode node, JobOutlook.Step step) {
        node.put("occurrence", step.occurrence());
        node.put("step", step.step());
        node.put("waitingTasks", step.waitingTasks());
        node.put("waitedMs", step.waitedMs());
        step.place().ifPresent(place -> node.put("place", place));
        node.put("withinGuarantee", step.guaranteed());
        node.put("timeliness", step.timeliness());
        Shortlist<JobOutlook.Worker, PoolWorkerVerdict> list =
                Shortlist.of(step.workers(), PoolWorkerVerdict.class, JobOutlook.Worker::verdict, MAX_CANDIDATES);
        ObjectNode counts = node.putObject("counts");
        for (PoolWorkerVerdict v : PoolWorkerVerdict.values()) {
            Optional.ofNullable(list.counts().get(v)).ifPresent(n -> counts.put(v.name(), n));
        }
        ArrayNode candidates = node.putArray("candidates");
        list.first().forEach(w -> addWorker(candidates.addObject(), w));
    }

    private static void addWorker(ObjectNode node, JobOutlook.Worker w) {
        node.put("worker", w.name());
        node.put("zone", w.zone());
        node.put("rack", w.rack());
        node.set("free", Json.lenient().valueToTree(w.free()));
        node.put("reportedMsAgo", w.reportedMsAgo());
        node.put("verdict", w.verdict().name());
        node.put("why", w.verdict().sentence());
    }

    private static void fail(Context ctx, PollenreachException e) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("code", e.code().number());
        node.put("name", e.code().name());
        node.put("sentence", e.code().sentence());
        node.put("detail", e.getMessage());
        ctx.getResponse().status(e.code().httpStatus());
        send(ctx, node);
    }

    private static void send(Context ctx, ObjectNode node) {
        ctx.getResponse().send("application/json", node.toString());
    }
}
