package io.pollenreach.daemon.internal.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.JobSpec;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Answers where a job or request would go now, and why.
 *
 * <p>Invariants: a call writes, reserves and sends nothing; at most {@link #MAX_OPEN} calls are being answered, so that
 * they do not take the processor from the decisions that count. Safe for use by many threads.
 */
final class WhereApi {
    /** How many calls may wait for their answer or be answered at once. */
    static final int MAX_OPEN = 16;

    private final WhereAnswers answers;
    private final Access access;
    private final Executor executor;
    private final int maxBodyBytes;
    private final Semaphore open = new Semaphore(MAX_OPEN);

    /**
     * Creates the resource.
     *
     * @param executor computes the answers, which may take as long as a planning round; of one thread
     */
    WhereApi(WhereAnswers answers, Access access, Executor executor, int maxBodyBytes) {
        this.answers = answers;
        this.access = access;
        this.executor = executor;
        this.maxBodyBytes = maxBodyBytes;
    }

    void addTo(Chain chain) throws Exception {
        chain.path(
                        "where/jobs/:workspace/:name",
                        ctx -> ctx.byMethod(m -> m.post(Endpoint.withBody(maxBodyBytes, this::job))))
                .path(
                        "where/requests/:workspace/:service",
                        ctx -> ctx.byMethod(m -> m.get(Endpoint.plain(this::request))));
    }

    private CompletableFuture<Reply> job(Context ctx, byte[] body) {
        access.requireWorkspace(ctx, ctx.getPathTokens().get("workspace"));
        boolean operator = access.confinement(ctx).isEmpty();
        JobSpec spec = JobApi.spec(ctx, body);
        return answer(() -> answers.job(spec, operator));
    }

    private CompletableFuture<Reply> request(Context ctx) {
        String workspace = ctx.getPathTokens().get("workspace");
        access.requireWorkspace(ctx, workspace);
        boolean operator = access.confinement(ctx).isEmpty();
        String service = ctx.getPathTokens().get("service");
        String path = ctx.getRequest().getQueryParams().getOrDefault("path", "/");
        return answer(() -> answers.request(workspace, service, path, operator));
    }

    private CompletableFuture<Reply> answer(Supplier<ObjectNode> source) {
        if (!open.tryAcquire()) {
            throw new PollenreachException(ResultCode.OVERLOADED, "this entry answers " + MAX_OPEN + " such calls");
        }
        return CompletableFuture.supplyAsync(source, executor)
                .whenComplete((v, t) -> open.release())
                .thenApply(Reply::json);
    }
}
