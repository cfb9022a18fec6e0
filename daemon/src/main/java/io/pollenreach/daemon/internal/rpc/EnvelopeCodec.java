package io.pollenreach.daemon.internal.rpc;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.json.Json;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Turns envelopes into MessagePack and back.
 *
 * <p>Invariant: {@link #decode} fails only with a {@link PollenreachException}, whatever the bytes are. Stateless, so
 * safe for use by many threads.
 */
final class EnvelopeCodec {
    /** The longest frame, without its length field, in bytes. */
    static final int MAX_FRAME_BYTES = 10 << 20;

    private static final JsonInclude.Value NON_DEFAULT =
            JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS);
    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectReader READER = MAPPER.readerFor(Envelope.class);
    private static final ObjectWriter WRITER = MAPPER.writerFor(Envelope.class);

    private EnvelopeCodec() {}

    private static ObjectMapper mapper() {
        ObjectMapper mapper = Json.lenient(new MessagePackFactory()).setPropertyNamingStrategy(new WireNames());
        // A number or flag that is absent reads as 0 or false, so these need not travel.
        for (Class<?> type : List.of(int.class, long.class, double.class, boolean.class)) {
            mapper.configOverride(type).setInclude(NON_DEFAULT);
        }
        return mapper;
    }

    /** Encodes an envelope; fails with {@code TOO_LARGE} when no receiver would take the frame. */
    static byte[] encode(Envelope envelope) {
        byte[] bytes = write(envelope);
        if (bytes.length > MAX_FRAME_BYTES) {
            throw new PollenreachException(ResultCode.TOO_LARGE, "frame of " + bytes.length + " bytes");
        }
        return bytes;
    }

    private static byte[] write(Envelope envelope) {
        try {
            return WRITER.writeValueAsBytes(envelope);
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "message cannot be encoded", e);
        }
    }

    /** Decodes an envelope; fails with {@code BAD_FRAME} or {@code WRONG_WIRE_VERSION}. */
    static Envelope decode(byte[] bytes) {
        Envelope envelope;
        try {
            checkLengths(bytes);
            envelope = READER.readValue(bytes);
        } catch (IOException | RuntimeException | StackOverflowError e) {
            throw unreadable(bytes, e);
        }
        if (envelope == null) {
            throw new PollenreachException(ResultCode.BAD_FRAME, "no envelope");
        }
        if (envelope.v() != Envelope.VERSION) {
            throw wrongVersion(envelope.v());
        }
        if (envelope.m() == null) {
            throw new PollenreachException(ResultCode.BAD_FRAME, "no message");
        }
        return envelope;
    }

    /** Fails when a declared length exceeds the frame, since the reader would allocate it before it notices. */
    private static void checkLengths(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the envelope");
            }
        }
    }

    private static PollenreachException unreadable(byte[] bytes, Throwable cause) {
        try {
            checkLengths(bytes);
            JsonNode version = MAPPER.readTree(bytes).path("v");
            if (version.isInt() && version.intValue() != Envelope.VERSION) {
                return wrongVersion(version.intValue());
            }
        } catch (IOException | RuntimeException | StackOverflowError e) {
            cause.addSuppressed(e);
        }
        return new PollenreachException(ResultCode.BAD_FRAME, null, "unreadable: " + cause.getClass(), cause);
    }

    private static PollenreachException wrongVersion(int version) {
        return new PollenreachException(ResultCode.WRONG_WIRE_VERSION, "wire version " + version);
    }
}
