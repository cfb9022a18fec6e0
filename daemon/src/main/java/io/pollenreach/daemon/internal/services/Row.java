package io.pollenreach.daemon.internal.services;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A row of the table service.
 *
 * <p>Immutable by convention: nobody changes the value's nodes.
 *
 * @param table the table
 * @param key the key
 * @param version grows by one with each write of this row, from 1
 * @param revision the table's revision at which the row was last written
 * @param deleted whether the row was deleted at that revision; only listed after a revision
 * @param value the content; null when deleted
 */
public record Row(String table, String key, long version, long revision, boolean deleted, JsonNode value) {}
