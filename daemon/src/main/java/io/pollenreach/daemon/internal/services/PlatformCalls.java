package io.pollenreach.daemon.internal.services;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.net.UrlEscapers;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.internal.json.Json;

/**
 * Calls the platform over HTTP and maps its answers to result codes.
 *
 * <p>Invariant: {@code PLATFORM_UNAVAILABLE} for a write means that surely nothing was written. Every doubt is {@code
 * WRITE_UNKNOWN}. Immutable, so safe for use by many threads.
 */
final class PlatformCalls {
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");
    private static final byte[] EMPTY = {};
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Set<Integer> SUCCESSES = Set.of(OK, CREATED, NO_CONTENT);

    private final HttpCaller http;
    private final String baseUri;
    private final long timeoutMs;

    PlatformCalls(HttpCaller http, String baseUri, long timeoutMs) {
        this.http = http;
        this.baseUri = baseUri.endsWith("/") ? baseUri.substring(0, baseUri.length() - 1) : baseUri;
        this.timeoutMs = timeoutMs;
    }

    /** Joins segments to a path, escaping each; slashes inside a segment stay as they are. */
    static String path(String... segments) {
        return Arrays.stream(segments)
                .flatMap(s -> Arrays.stream(s.split("/", -1)))
                .map(PlatformCalls::segment)
                .collect(Collectors.joining("/", "/", ""));
    }

    /** Escapes one segment, slashes included. */
    static String segment(String segment) {
        return UrlEscapers.urlPathSegmentEscaper().escape(segment);
    }

    /** Reads; any failure to get an answer is {@code PLATFORM_UNAVAILABLE}. */
    CompletableFuture<HttpClientResponse> read(String path) {
        return send("GET", path, EMPTY, timeoutMs).handle((r, t) -> {
            if (t != null) {
                throw unavailable(path, t);
            }
            if (r.status() == NOT_FOUND || SUCCESSES.contains(r.status())) {
                return r;
            }
            throw new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, path + " answered " + r.status());
        });
    }

    /** Writes; fails unless the platform confirmed it. */
    CompletableFuture<HttpClientResponse> write(String method, String path, Object body) {
        return write(method, path, toJson(body), timeoutMs);
    }

    /** Writes bytes and waits longer than usual. */
    CompletableFuture<HttpClientResponse> write(String method, String path, byte[] body, long waitMs) {
        return send(method, path, body, waitMs).handle((r, t) -> {
            if (t != null) {
                throw writeFailure(path, t);
            }
            if (SUCCESSES.contains(r.status())) {
                return r;
            }
            throw new PollenreachException(code(r.status()), path + " answered " + r.status() + detail(r));
        });
    }

    long timeoutMs() {
        return timeoutMs;
    }

    static boolean missing(HttpClientResponse r) {
        return r.status() == NOT_FOUND;
    }

    /** Parses an answer; one that can't be read counts as lost. */
    static <T> T parse(HttpClientResponse r, Class<T> type, ResultCode whenUnreadable) {
        try {
            return Json.lenient().readValue(r.body(), type);
        } catch (IOException e) {
            throw new PollenreachException(whenUnreadable, null, "the platform's answer is not readable", e);
        }
    }

    static byte[] toJson(Object body) {
        if (body == null) {
            return EMPTY;
        }
        try {
            return Json.lenient().writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "not writable as JSON", e);
        }
    }

    private CompletableFuture<HttpClientResponse> send(String method, String path, byte[] body, long waitMs) {
        // The HTTP client bounds silence only; the whole call is bounded here.
        return http.call(method, URI.create(baseUri + path), JSON_HEADERS, body, waitMs)
                .orTimeout(waitMs, TimeUnit.MILLISECONDS);
    }

    private static ResultCode code(int status) {
        switch (status) {
            case NOT_FOUND:
                return ResultCode.NOT_FOUND;
            case CONFLICT:
                return ResultCode.CONFLICT;
            case TOO_MANY_REQUESTS:
            case UNAVAILABLE:
                return ResultCode.PLATFORM_UNAVAILABLE;
            default:
                return status >= FIRST_SERVER_ERROR ? ResultCode.WRITE_UNKNOWN : ResultCode.INTERNAL;
        }
    }

    private static String detail(HttpClientResponse r) {
        return r.body().length == 0 ? "" : ": " + new String(r.body(), StandardCharsets.UTF_8);
    }

    private static PollenreachException unavailable(String path, Throwable t) {
        return new PollenreachException(ResultCode.PLATFORM_UNAVAILABLE, null, path + ": " + cause(t), t);
    }

    private static PollenreachException writeFailure(String path, Throwable t) {
        boolean nothingSent = PollenreachException.of(t).code() == ResultCode.PEER_UNREACHABLE;
        ResultCode code = nothingSent ? ResultCode.PLATFORM_UNAVAILABLE : ResultCode.WRITE_UNKNOWN;
        return new PollenreachException(code, null, path + ": " + cause(t), t);
    }

    private static Throwable cause(Throwable t) {
        return t instanceof CompletionException && t.getCause() != null ? t.getCause() : t;
    }
}
