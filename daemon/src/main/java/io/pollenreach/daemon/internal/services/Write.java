package io.pollenreach.daemon.internal.services;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One write of a transaction.
 *
 * <p>Immutable by convention: nobody changes the value's nodes.
 *
 * @param table the table
 * @param key the key
 * @param expectedVersion the version that the row must have; 0 when it must not exist
 * @param value the new content; null deletes the row
 */
public record Write(String table, String key, long expectedVersion, JsonNode value) {}
