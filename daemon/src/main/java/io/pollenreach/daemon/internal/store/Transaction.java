package io.pollenreach.daemon.internal.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Conditions and writes that take effect together or not at all.
 *
 * <p>Built by one thread; not changed after it was handed to a store.
 *
 * <pre>{@code
 * Transaction tx = new Transaction().expect("jobs", id, 0).write("jobs", id, value);
 * }</pre>
 */
public final class Transaction {
    /** A row that must have a version; 0 when it must not exist. Immutable. */
    public record Condition(String table, String key, long version) {}

    /** A new content. Immutable by convention: nobody changes the value. */
    public record Write(String table, String key, byte[] value) {}

    /** A row to remove. Immutable. */
    public record Removal(String table, String key) {}

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private final List<Removal> removals = new ArrayList<>();
    private long bytes;

    /** Adds a condition. */
    public Transaction expect(String table, String key, long version) {
        conditions.add(new Condition(table, key, version));
        return this;
    }

    /** Adds a write. */
    public Transaction write(String table, String key, byte[] value) {
        writes.add(new Write(table, key, value));
        bytes += value.length;
        return this;
    }

    /** Adds a removal. */
    public Transaction remove(String table, String key) {
        removals.add(new Removal(table, key));
        return this;
    }

    /** Returns the conditions in the order in which they were added. */
    public List<Condition> conditions() {
        return conditions;
    }

    /** Returns the writes in the order in which they were added. */
    public List<Write> writes() {
        return writes;
    }

    /** Returns the removals in the order in which they were added. */
    public List<Removal> removals() {
        return removals;
    }

    /** Returns how many entries the transaction has. */
    public int size() {
        return conditions.size() + writes.size() + removals.size();
    }

    /** Returns the bytes of all values. */
    public long bytes() {
        return bytes;
    }
}
