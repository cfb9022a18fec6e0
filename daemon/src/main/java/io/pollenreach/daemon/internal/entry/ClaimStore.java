package io.pollenreach.daemon.internal.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.ObjectStore;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.Table;
import io.pollenreach.daemon.internal.services.Write;
import io.pollenreach.internal.claims.ClaimRow;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.Executed;

/**
 * Reads and writes the rows of table {@code claims}.
 *
 * <p>Safe for use by many threads; it keeps no state.
 */
final class ClaimStore {
    static final String TABLE = "claims";
    private static final String BUCKET = "answers";
    /** Larger response bodies go to the object store. */
    private static final int MAX_ROW_BODY_BYTES = 32 << 10;

    private final Table table;
    private final ObjectStore objects;

    ClaimStore(Table table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /**
     * A claim with the version of its row.
     *
     * @param version the version
     * @param row the claim
     */
    record Claim(long version, ClaimRow row) {}

    CompletableFuture<Claim> create(ClaimRow row) {
        return table.put(new Write(TABLE, row.key(), 0, Json.lenient().valueToTree(row)))
                .thenApply(v -> new Claim(v, row));
    }

    CompletableFuture<Optional<Claim>> read(String key) {
        return table.get(TABLE, key).thenApply(r -> r.map(ClaimStore::parse));
    }

    CompletableFuture<Claim> update(Claim claim, ClaimRow next) {
        return table.put(new Write(
                        TABLE, next.key(), claim.version(), Json.lenient().valueToTree(next)))
                .thenApply(v -> new Claim(v, next));
    }

    /** Records a whole response in the row; a large body is first written to the object store. */
    CompletableFuture<Claim> recordAnswer(Claim claim, Executed e) {
        ClaimRow row = claim.row();
        if (e.body().length <= MAX_ROW_BODY_BYTES) {
            return update(claim, row.answered(e.status(), e.contentType(), e.body()));
        }
        return objects.put(BUCKET, row.key(), e.body())
                .thenCompose(v -> update(claim, row.answeredAt(e.status(), e.contentType(), row.key())));
    }

    /** Returns the whole recorded response of an answered claim. */
    CompletableFuture<RunnerResponse> answer(ClaimRow row) {
        if (row.objectKey() == null) {
            return CompletableFuture.completedFuture(answer(row, row.body()));
        }
        return objects.get(BUCKET, row.objectKey())
                .thenApply(o -> answer(
                        row,
                        o.orElseThrow(() -> new PollenreachException(
                                ResultCode.PLATFORM_UNAVAILABLE, "the object " + row.objectKey() + " is missing"))));
    }

    private static RunnerResponse answer(ClaimRow row, byte[] body) {
        return new RunnerResponse(row.requestId(), row.status(), row.contentType(), body, row.target());
    }

    private static Claim parse(Row r) {
        try {
            return new Claim(r.version(), Json.lenient().treeToValue(r.value(), ClaimRow.class));
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.MALFORMED, null, "row " + r.key() + ": " + e.getMessage(), e);
        }
    }
}
