package io.pollenreach.daemon.internal.store;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.json.Json;

/** Turns values of rows into objects and back. Stateless, so safe for use by many threads. */
public final class RowCodec {
    private static final Events EVENTS = Events.of(RowCodec.class);

    private RowCodec() {}

    /** Writes an object as the value of a row. */
    public static byte[] toValue(Object content) {
        try {
            return Json.lenient().writeValueAsBytes(content);
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "not writable as JSON", e);
        }
    }

    /** Reads an object from a row; one that cannot be read is logged and skipped, so that the others hold. */
    public static <T> Optional<T> fromRow(StoredRow row, Class<T> type) {
        if (row.removed()) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(Json.lenient().readValue(row.value(), type));
        } catch (IOException e) {
            EVENTS.warn(
                    "row-unreadable",
                    "type",
                    type.getSimpleName(),
                    "key",
                    row.key(),
                    "version",
                    row.version(),
                    "code",
                    ResultCode.MALFORMED.number(),
                    "error",
                    e.getMessage());
            return Optional.empty();
        }
    }
}
