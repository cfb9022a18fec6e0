package io.pollenreach.daemon.internal.agent;

/**
 * Identifies a request.
 *
 * <p>Immutable.
 *
 * @param workspace the workspace that the request belongs to
 * @param id the caller's id, unique within the workspace
 */
record RequestKey(String workspace, String id) {}
