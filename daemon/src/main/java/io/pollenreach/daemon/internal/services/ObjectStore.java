package io.pollenreach.daemon.internal.services;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store.
 *
 * <p>Failures are as for {@link Table}. Implementations are safe for use by many threads.
 */
public interface ObjectStore {
    /** Reads an object. */
    CompletableFuture<Optional<byte[]>> get(String bucket, String key);

    /** Writes an object, replacing what was there. */
    CompletableFuture<Void> put(String bucket, String key, byte[] content);

    /** Deletes an object; does nothing when there is none. */
    CompletableFuture<Void> delete(String bucket, String key);
}
