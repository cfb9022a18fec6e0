package io.pollenreach.daemon.internal.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.hash.Hashing;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.log.Events;
import ratpack.handling.Context;

/**
 * Checks the tokens of callers.
 *
 * <p>Invariant: the operators' token opens everything, a workspace's token only that workspace. Tokens are compared by
 * their SHA-256 and never logged. Safe for use by many threads.
 */
final class Access {
    private static final String BEARER = "Bearer ";
    private static final Events EVENTS = Events.of(Access.class);

    private final ConfigTable config;
    private final Supplier<String> operatorSha256;

    Access(ConfigTable config, Supplier<String> operatorSha256) {
        this.config = config;
        this.operatorSha256 = operatorSha256;
    }

    /** Fails unless the caller is an operator. */
    void requireOperator(Context ctx) {
        String hash = tokenHash(ctx);
        if (same(hash, operatorSha256.get())) {
            return;
        }
        refuse(ctx, isKnown(hash) ? ResultCode.FORBIDDEN : ResultCode.UNAUTHENTICATED, "operators only");
    }

    /** Fails unless the caller is an operator or belongs to the workspace. */
    void requireWorkspace(Context ctx, String workspace) {
        String hash = tokenHash(ctx);
        if (same(hash, operatorSha256.get())) {
            return;
        }
        boolean member = config.get()
                .workspace(workspace)
                .filter(w -> same(hash, w.tokenSha256()))
                .isPresent();
        if (!member) {
            refuse(ctx, isKnown(hash) ? ResultCode.FORBIDDEN : ResultCode.UNAUTHENTICATED, "workspace " + workspace);
        }
    }

    /** Returns the workspace that the caller is confined to; empty for an operator. */
    Optional<String> confinement(Context ctx) {
        String hash = tokenHash(ctx);
        if (same(hash, operatorSha256.get())) {
            return Optional.empty();
        }
        Optional<String> name = config.get().workspaces().values().stream()
                .filter(w -> same(hash, w.tokenSha256()))
                .map(Workspace::name)
                .findFirst();
        if (name.isEmpty()) {
            refuse(ctx, ResultCode.UNAUTHENTICATED, "unknown token");
        }
        return name;
    }

    private boolean isKnown(String hash) {
        return config.get().workspaces().values().stream().anyMatch(w -> same(hash, w.tokenSha256()));
    }

    private static String tokenHash(Context ctx) {
        String header = ctx.getRequest().getHeaders().get("Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            return "";
        }
        String token = header.substring(BEARER.length()).trim();
        return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
    }

    private static boolean same(String a, String b) {
        boolean present = b != null && !b.isEmpty() && !a.isEmpty();
        return present && MessageDigest.isEqual(a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }

    private static void refuse(Context ctx, ResultCode code, String what) {
        EVENTS.warn(
                "access-refused",
                "code",
                code.number(),
                "method",
                ctx.getRequest().getMethod().getName(),
                "path",
                ctx.getRequest().getPath(),
                "from",
                ctx.getRequest().getRemoteAddress());
        throw new PollenreachException(code, what);
    }
}
