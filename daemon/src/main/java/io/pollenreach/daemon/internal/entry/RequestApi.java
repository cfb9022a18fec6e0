package io.pollenreach.daemon.internal.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.path.PathBinding;

/**
 * The resource of requests to runners.
 *
 * <p>Invariant: a caller is answered with the whole answer to its own request or with a numbered code. Safe for use by
 * many threads.
 */
final class RequestApi {
    private static final long DEFAULT_DEADLINE_MS = 10_000;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private final RequestController requests;
    private final ClaimedSender claims;
    private final Access access;
    private final Clock clock;
    private final int maxBodyBytes;

    RequestApi(RequestController requests, ClaimedSender claims, Access access, Clock clock, int maxBodyBytes) {
        this.requests = requests;
        this.claims = claims;
        this.access = access;
        this.clock = clock;
        this.maxBodyBytes = maxBodyBytes;
    }

    void addTo(Chain chain) throws Exception {
        chain.prefix(
                "requests/:workspace/:name",
                c -> c.all(ctx -> ctx.byMethod(m -> m.get(Endpoint.plain(this::lookUp))
                        .post(Endpoint.withBody(maxBodyBytes, this::request))
                        .put(Endpoint.withBody(maxBodyBytes, this::request)))));
    }

    private CompletableFuture<Reply> lookUp(Context ctx) {
        String workspace = ctx.getPathTokens().get("workspace");
        access.requireWorkspace(ctx, workspace);
        return claims.lookUp(workspace, ctx.getAllPathTokens().get("name")).thenApply(Reply::of);
    }

    private CompletableFuture<Reply> request(Context ctx, byte[] body) {
        String workspace = ctx.getAllPathTokens().get("workspace");
        access.requireWorkspace(ctx, workspace);
        return requests.handle(read(ctx, workspace, body)).thenApply(Reply::of);
    }

    private CallerRequest read(Context ctx, String workspace, byte[] body) {
        String id = ctx.getRequest().getHeaders().get("Request-Id");
        if (id == null) {
            throw new PollenreachException(ResultCode.MISSING_FIELD, "Request-Id", "each request needs an id");
        }
        if (!ID.matcher(id).matches()) {
            throw new PollenreachException(ResultCode.BAD_NAME, "Request-Id", "1 to 128 of A-Z a-z 0-9 . _ : -");
        }
        long deadline = Endpoint.number(
                        ctx.getRequest().getHeaders().get("Deadline-Ms"),
                        "Deadline-Ms",
                        RequestController.MAX_DEADLINE_MS)
                .orElse(DEFAULT_DEADLINE_MS);
        String type = ctx.getRequest().getContentType().getType();
        return new CallerRequest(
                workspace,
                ctx.getAllPathTokens().get("name"),
                id,
                idempotent(ctx),
                ctx.getRequest().getMethod().getName(),
                "/" + ctx.get(PathBinding.class).getPastBinding(),
                Optional.ofNullable(type).orElse("application/octet-stream"),
                body,
                clock.nowMs() + deadline);
    }

    private static boolean idempotent(Context ctx) {
        String text = ctx.getRequest().getHeaders().get("Idempotent");
        if (text == null || text.equals("false")) {
            return false;
        }
        if (text.equals("true")) {
            return true;
        }
        throw new PollenreachException(ResultCode.OUT_OF_RANGE, "Idempotent", "true or false, not " + text);
    }
}
