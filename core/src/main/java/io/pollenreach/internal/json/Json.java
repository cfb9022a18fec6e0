package io.pollenreach.internal.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;

/** Creates the mappers that the system reads and writes with. The mappers are safe for use by many threads. */
public final class Json {
    private static final ObjectMapper LENIENT = lenient(new JsonFactory());
    private static final ObjectMapper STRICT = lenient(new JsonFactory())
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /** Returns the mapper for rows and messages, which ignores unknown fields so that versions can be mixed. */
    public static ObjectMapper lenient() {
        return LENIENT;
    }

    /** Returns the mapper for declarations, which refuses unknown fields. */
    public static ObjectMapper strict() {
        return STRICT;
    }

    /** Creates a lenient mapper over another format, such as MessagePack or YAML. */
    public static ObjectMapper lenient(JsonFactory format) {
        ObjectMapper mapper = format.getClass() == JsonFactory.class ? new JsonMapper() : new ObjectMapper(format);
        return mapper.registerModule(new Jdk8Module())
                .registerModule(new ParameterNamesModule())
                .setSerializationInclusion(JsonInclude.Include.NON_NULL)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
}
