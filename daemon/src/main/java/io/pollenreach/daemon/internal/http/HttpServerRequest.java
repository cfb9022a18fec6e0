package io.pollenreach.daemon.internal.http;

import java.util.Optional;
import java.util.function.Function;

/**
 * A whole call that came in.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param method the method
 * @param host the host that the caller named, without a port
 * @param path the path, from its first slash, without a query
 * @param query finds a parameter of the query by its name
 * @param header finds a header by its name
 * @param body the body; may be empty
 */
public record HttpServerRequest(
        String method,
        String host,
        String path,
        Function<String, Optional<String>> query,
        Function<String, Optional<String>> header,
        byte[] body) {}
