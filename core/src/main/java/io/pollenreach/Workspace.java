package io.pollenreach;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A tenant with guaranteed shapes of accelerators.
 *
 * <p>Immutable.
 *
 * @param name the workspace's name
 * @param guarantees the shapes that can always be reclaimed from borrowers
 * @param maxAccelerators the most accelerators it may use, borrowed ones included
 * @param share the weight of its requests when many wait, 1 to 1000
 * @param maxWaitingRequests how many of its requests may wait at one entry
 * @param tokenSha256 the SHA-256 of its access token, in lower-case hexadecimal
 */
public record Workspace(
        String name,
        List<Shape> guarantees,
        int maxAccelerators,
        int share,
        int maxWaitingRequests,
        String tokenSha256) {
    public Workspace {
        guarantees = guarantees == null ? List.of() : List.copyOf(guarantees);
    }

    /** Returns the accelerators of all guaranteed shapes together. */
    @JsonIgnore
    public int guaranteedAccelerators() {
        return guarantees.stream().mapToInt(Shape::accelerators).sum();
    }
}
