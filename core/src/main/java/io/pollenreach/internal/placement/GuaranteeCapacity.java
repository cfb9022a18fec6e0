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
    private final int[] unusedPerPart;

    /** Creates an unused guarantee. If it is not divisible, a single job uses all of it. */
    GuaranteeCapacity(Shape shape, boolean divisible) {
        this.shape = shape;
        this.divisible = divisible;
        this.unusedPerPart = new int[shape.parts()];
        Arrays.fill(unusedPerPart, shape.acceleratorsPerPart());
    }

    Shape shape() {
        return shape;
    }

    int free() {
        return Arrays.stream(unusedPerPart).sum();
    }

    boolean fits(Shape gang) {
        if (gang.adjacency().compareTo(shape.adjacency()) < 0) {
            return false;
        }
        int parts = 0;
        for (int n : unusedPerPart) {
            parts += n / gang.acceleratorsPerPart();
        }
        return parts >= gang.parts() && (divisible || gang.fitsInto(shape));
    }

    void allocate(Shape gang) {
        Arrays.sort(unusedPerPart);
        int missing = gang.parts();
        for (int i = 0; i < unusedPerPart.length && missing > 0; i++) {
            int n = Math.min(missing, unusedPerPart[i] / gang.acceleratorsPerPart());
            unusedPerPart[i] -= n * gang.acceleratorsPerPart();
            missing -= n;
        }
        if (!divisible) {
            Arrays.fill(unusedPerPart, 0);
        }
    }

    /** Allocates up to the given number of accelerators from any parts; returns how many were allocated. */
    int allocateAnyParts(int accelerators) {
        int allocated = 0;
        for (int i = 0; i < unusedPerPart.length; i++) {
            int n = Math.min(accelerators - allocated, unusedPerPart[i]);
            unusedPerPart[i] -= n;
            allocated += n;
        }
        return allocated;
    }

    /**
     * Returns the shapes still available: all unused parts as one shape, and each partly used part as a shape of its
     * own.
     */
    List<Shape> remainingShapes() {
        List<Shape> rest = new ArrayList<>();
        int unusedParts = 0;
        for (int n : unusedPerPart) {
            if (n == shape.acceleratorsPerPart()) {
                unusedParts++;
            } else if (n > 0) {
                rest.add(new Shape(1, n, shape.adjacency()));
            }
        }
        if (unusedParts > 0) {
            rest.add(new Shape(unusedParts, shape.acceleratorsPerPart(), shape.adjacency()));
        }
        return rest;
    }

    GuaranteeCapacity copy() {
        GuaranteeCapacity copy = new GuaranteeCapacity(shape, divisible);
        System.arraycopy(unusedPerPart, 0, copy.unusedPerPart, 0, unusedPerPart.length);
        return copy;
    }
}
