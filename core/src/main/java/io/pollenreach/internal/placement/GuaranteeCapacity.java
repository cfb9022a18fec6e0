package io.pollenreach.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.pollenreach.Shape;

/**
 * The unused capacity of one guaranteed shape.
 *
 * <p>Invariant: jobs allocated here never use more accelerators than the parts of the shape have. Confined to
 * one round, so not safe for use by many threads.
 */
final class GuaranteeCapacity {
    private final Shape shape;
    private final boolean divisible;
    private final int[] left;

    /** Creates an unused guarantee. If it is not divisible, a single job uses all of it. */
    GuaranteeCapacity(Shape shape, boolean divisible) {
        this.shape = shape;
        this.divisible = divisible;
        this.left = new int[shape.parts()];
        Arrays.fill(left, shape.acceleratorsPerPart());
    }

    Shape shape() {
        return shape;
    }

    int free() {
        return Arrays.stream(left).sum();
    }

    boolean holds(Shape gang) {
        if (gang.adjacency().compareTo(shape.adjacency()) < 0) {
            return false;
        }
        int parts = 0;
        for (int n : left) {
            parts += n / gang.acceleratorsPerPart();
        }
        return parts >= gang.parts() && (divisible || gang.fitsInto(shape));
    }

    void take(Shape gang) {
        Arrays.sort(left);
        int missing = gang.parts();
        for (int i = 0; i < left.length && missing > 0; i++) {
            int n = Math.min(missing, left[i] / gang.acceleratorsPerPart());
            left[i] -= n * gang.acceleratorsPerPart();
            missing -= n;
        }
        if (!divisible) {
            Arrays.fill(left, 0);
        }
    }

    /** Allocates up to the given number of accelerators from any parts; returns how many were allocated. */
    int allocateAnyParts(int accelerators) {
        int drained = 0;
        for (int i = 0; i < left.length; i++) {
            int n = Math.min(accelerators - drained, left[i]);
            left[i] -= n;
            drained += n;
        }
        return drained;
    }

    /** Returns the shapes still available: all unused parts as one shape, and each partly used part as a shape of its own. */
    List<Shape> remainingShapes() {
        List<Shape> rest = new ArrayList<>();
        int whole = 0;
        for (int n : left) {
            if (n == shape.acceleratorsPerPart()) {
                whole++;
            } else if (n > 0) {
                rest.add(new Shape(1, n, shape.adjacency()));
            }
        }
        if (whole > 0) {
            rest.add(new Shape(whole, shape.acceleratorsPerPart(), shape.adjacency()));
        }
        return rest;
    }

    GuaranteeCapacity copy() {
        GuaranteeCapacity copy = new GuaranteeCapacity(shape, divisible);
        System.arraycopy(left, 0, copy.left, 0, left.length);
        return copy;
    }
}
