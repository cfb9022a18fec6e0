package io.pollenreach.daemon.internal.entry;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.pollenreach.internal.claims.RequestTable;

/**
 * A request as a caller sent it.
 *
 * <p>Immutable by convention: nobody changes the body.
 *
 * @param workspace the workspace
 * @param service the service that is asked
 * @param id the caller's id, unique within the workspace
 * @param idempotent whether it may run more than once
 * @param method the HTTP method
 * @param path the path at the runner
 * @param contentType the body's media type
 * @param body the whole body
 * @param deadlineAtMs monotonic time at which the caller gives up
 */
record CallerRequest(
        String workspace,
        String service,
        String id,
        boolean idempotent,
        String method,
        String path,
        String contentType,
        byte[] body,
        long deadlineAtMs) {
    String key() {
        return RequestTable.key(workspace, id);
    }

    /** Returns the digest by which a repeated id is recognised as the same request. */
    String digest() {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(service + "\n" + method + "\n" + path + "\n" + idempotent + "\n", StandardCharsets.UTF_8);
        return hasher.putBytes(body).hash().toString();
    }
}
