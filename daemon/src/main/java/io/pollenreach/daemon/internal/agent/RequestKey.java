package io.pollenreach.daemon.internal.agent;

/**
 * Names a request.
 *
 * <p>Immutable.
 *
 * @param workspace the workspace
 * @param id the caller's id, unique within the workspace
 */
record RequestKey(String workspace, String id) {}
