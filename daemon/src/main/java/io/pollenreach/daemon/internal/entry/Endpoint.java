package io.pollenreach.daemon.internal.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.Kind;
import io.pollenreach.daemon.internal.yaml.Violation;
import io.pollenreach.internal.json.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.TypedData;

/**
 * Turns functions that return futures of replies into handlers, so that each failure is answered with its code.
 *
 * <p>Stateless, so safe for use by many threads.
 */
final class Endpoint {
    private Endpoint() {}

    /** Answers a call without a body. */
    interface Plain {
        CompletableFuture<Reply> answer(Context ctx) throws Exception;
    }

    /** Answers a call with its whole body. */
    interface WithBody {
        CompletableFuture<Reply> answer(Context ctx, byte[] body) throws Exception;
    }

    static Handler plain(Plain f) {
        return ctx -> send(ctx, promise(() -> f.answer(ctx)));
    }

    static Handler withBody(int maxBytes, WithBody f) {
        return ctx -> {
            Promise<TypedData> body = ctx.getRequest().getBody(maxBytes, () -> Reply.failure(
                            new PollenreachException(ResultCode.TOO_LARGE, "the limit is " + maxBytes + " bytes"))
                    .send(ctx));
            send(ctx, body.map(TypedData::getBytes).flatMap(b -> promise(() -> f.answer(ctx, b))));
        };
    }

    private interface Source {
        CompletableFuture<Reply> get() throws Exception;
    }

    private static Promise<Reply> promise(Source source) {
        return Promise.async(down -> {
            CompletableFuture<Reply> f;
            try {
                f = source.get();
            } catch (RuntimeException e) {
                f = CompletableFuture.failedFuture(e);
            }
            down.accept(f);
        });
    }

    private static void send(Context ctx, Promise<Reply> reply) {
        reply.onError(t -> Reply.failure(t).send(ctx)).then(r -> r.send(ctx));
    }

    /** Reads a JSON object. */
    static ObjectNode object(byte[] body) {
        try {
            JsonNode node = Json.strict().readTree(body);
            if (node instanceof ObjectNode) {
                return (ObjectNode) node;
            }
            throw new PollenreachException(ResultCode.MALFORMED, "the body is not a JSON object");
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.MALFORMED, null, e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new PollenreachException(ResultCode.MALFORMED, null, e.getMessage(), e);
        }
    }

    /** Reads and checks a declaration whose path names its kind, workspace and name. */
    static Declaration declaration(byte[] body, Kind kind, Optional<String> workspace, String name) {
        ObjectNode envelope = object(body);
        envelope.put("kind", kind.text());
        checkSame(envelope, "name", name);
        workspace.ifPresent(w -> checkSame(envelope, "workspace", w));
        List<Violation> faults = new ArrayList<>();
        Optional<Declaration> declaration = Declaration.check(envelope, faults);
        if (!faults.isEmpty()) {
            String all = faults.stream()
                    .map(f -> f.code().number() + " " + f.path() + ": " + f.detail())
                    .collect(Collectors.joining("; "));
            throw new PollenreachException(faults.get(0).code(), faults.get(0).path(), all);
        }
        return declaration.orElseThrow();
    }

    private static void checkSame(ObjectNode envelope, String field, String fromPath) {
        JsonNode given = envelope.get(field);
        if (given != null && !given.asText().equals(fromPath)) {
            throw new PollenreachException(
                    ResultCode.CONTRADICTION, field, "the path says " + fromPath + ", the body " + given.asText());
        }
        envelope.put(field, fromPath);
    }

    /** Returns the version precondition, if the caller named one. */
    static Optional<Long> ifMatch(Context ctx) {
        return number(ctx.getRequest().getHeaders().get("If-Match"), "If-Match", Long.MAX_VALUE);
    }

    /** Parses a number that is not negative. */
    static Optional<Long> number(String text, String field, long max) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            long value = Long.parseLong(text.replace("\"", "").trim());
            if (value < 0 || value > max) {
                throw new PollenreachException(ResultCode.OUT_OF_RANGE, field, text + " is not in 0.." + max);
            }
            return Optional.of(value);
        } catch (NumberFormatException e) {
            throw new PollenreachException(ResultCode.WRONG_UNIT, field, text + " is not a number", e);
        }
    }
}
