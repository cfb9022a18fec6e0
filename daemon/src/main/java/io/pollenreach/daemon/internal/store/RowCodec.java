package io.pollenreach.daemon.internal.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.json.Json;

/**
 * Turns values of rows into objects and back.
 *
 * <p>A value is JSON, and compressed with gzip if it is long. Stateless, so safe for use by many threads.
 */
public final class RowCodec {
    /** Longest JSON that is stored as it is, in bytes; longer values of many alike entries shrink several times. */
    private static final int MAX_PLAIN_BYTES = 16_000;

    /** Longest JSON that a compressed value may hold, in bytes. */
    private static final int MAX_INFLATED_BYTES = 4 << 20;

    /** The first byte of a gzip stream; no JSON begins with it. */
    private static final int GZIP_MAGIC = 0x1f;

    private static final Events EVENTS = Events.of(RowCodec.class);

    private RowCodec() {}

    /** Writes an object as the value of a row. */
    public static byte[] toValue(Object content) {
        try {
            byte[] json = toJson(content);
            return json.length <= MAX_PLAIN_BYTES ? json : compress(json);
        } catch (IOException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "a value cannot be compressed", e);
        }
    }

    /** Writes an object as JSON, whatever its length, for the body of a call. */
    public static byte[] toJson(Object content) {
        try {
            return Json.lenient().writeValueAsBytes(content);
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "not writable as JSON", e);
        }
    }

    private static byte[] compress(byte[] json) throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (OutputStream out = new GZIPOutputStream(compressed)) {
            out.write(json);
        }
        return compressed.toByteArray();
    }

    private static byte[] json(byte[] value) throws IOException {
        if (value.length == 0 || value[0] != GZIP_MAGIC) {
            return value;
        }
        try (InputStream in = new GZIPInputStream(new ByteArrayInputStream(value))) {
            byte[] json = in.readNBytes(MAX_INFLATED_BYTES + 1);
            if (json.length > MAX_INFLATED_BYTES) {
                throw new IOException("the value holds more than " + MAX_INFLATED_BYTES + " bytes");
            }
            return json;
        }
    }

    /** Reads an object from a row; one that cannot be read is logged and skipped, so that the others hold. */
    public static <T> Optional<T> fromRow(StoredRow row, Class<T> type) {
        if (row.removed()) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(Json.lenient().readValue(json(row.value()), type));
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
