package io.pollenreach.daemon.internal.services;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import com.google.common.net.UrlEscapers;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;

/**
 * The platform's table service over HTTP.
 *
 * <p>Makes each call once: a retry is the caller's decision. Immutable, so safe for use by many threads.
 */
public final class HttpTable implements Table {
    private final PlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param platformUri the platform's base address, such as {@code http://127.0.0.1:7000}
     * @param timeoutMs milliseconds until a call fails
     */
    public HttpTable(HttpCaller http, String platformUri, long timeoutMs) {
        calls = new PlatformCalls(http, platformUri, timeoutMs);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String table, String key) {
        return calls.read(PlatformCalls.path("tables", table, "rows", key)).thenApply(r -> row(table, r));
    }

    @Override
    public CompletableFuture<RowList> list(String table, String prefix, long since) {
        String query = "?prefix=" + UrlEscapers.urlFormParameterEscaper().escape(prefix) + "&since=" + since;
        return calls.read(PlatformCalls.path("tables", table, "rows") + query).thenApply(r -> rows(table, r));
    }

    @Override
    public CompletableFuture<List<Long>> transact(List<Write> writes) {
        return calls.write("POST", "/transactions", new PlatformMessages.Transaction(writes))
                .thenApply(r -> PlatformCalls.parse(r, PlatformMessages.Versions.class, ResultCode.WRITE_UNKNOWN)
                        .versions());
    }

    private static Optional<Row> row(String table, HttpClientResponse r) {
        if (PlatformCalls.missing(r)) {
            return Optional.empty();
        }
        return Optional.of(named(table, PlatformCalls.parse(r, Row.class, ResultCode.PLATFORM_UNAVAILABLE)));
    }

    private static RowList rows(String table, HttpClientResponse r) {
        RowList list = PlatformCalls.parse(r, RowList.class, ResultCode.PLATFORM_UNAVAILABLE);
        List<Row> rows = list.rows().stream().map(row -> named(table, row)).collect(Collectors.toList());
        return new RowList(list.revision(), rows);
    }

    // The protocol names the table in the address only.
    private static Row named(String table, Row row) {
        return new Row(table, row.key(), row.version(), row.revision(), row.deleted(), row.value());
    }
}
