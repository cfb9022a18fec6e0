package io.pollenreach;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A number of parts that run together, each on one worker with some accelerators.
 *
 * <p>Two parts of one gang may share a worker only when it has the accelerators for both. Immutable.
 *
 * @param parts how many parts, 1 to 128
 * @param acceleratorsPerPart accelerators that each part holds on one worker, 1 to 64
 * @param adjacency how close together the parts must be
 */
public record Shape(int parts, int acceleratorsPerPart, Adjacency adjacency) {
    public static final int MAX_PARTS = 128;
    public static final int MAX_ACCELERATORS_PER_PART = 64;

    public Shape {
        adjacency = adjacency == null ? Adjacency.ANY : adjacency;
    }

    /** Returns the accelerators of all parts together. */
    @JsonIgnore
    public int accelerators() {
        return parts * acceleratorsPerPart;
    }

    /** Tells whether a gang of this shape fits into the place that another shape describes. */
    public boolean fitsInto(Shape other) {
        return parts <= other.parts
                && acceleratorsPerPart <= other.acceleratorsPerPart
                && adjacency.compareTo(other.adjacency) >= 0;
    }
}
