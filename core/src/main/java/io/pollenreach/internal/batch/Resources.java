package io.pollenreach.internal.batch;

/**
 * A vector of resources, either what a task needs or what a worker has.
 *
 * <p>Immutable.
 *
 * @param milliCpu thousandths of a core
 * @param memoryMb megabytes of memory
 * @param accelerators whole accelerators
 */
public record Resources(long milliCpu, long memoryMb, int accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Cores that one accelerator counts for when costs of work are compared; the platform's price list. */
    private static final double CORES_PER_ACCELERATOR = 8;

    private static final double MILLI = 1_000;

    /** Returns the sum of both vectors. */
    public Resources plus(Resources o) {
        return new Resources(milliCpu + o.milliCpu, memoryMb + o.memoryMb, accelerators + o.accelerators);
    }

    /** Returns this vector less another; components may become negative. */
    public Resources minus(Resources o) {
        return new Resources(milliCpu - o.milliCpu, memoryMb - o.memoryMb, accelerators - o.accelerators);
    }

    /** Tells whether this need can be met from {@code room} in every component. */
    public boolean fitsIn(Resources room) {
        return milliCpu <= room.milliCpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /** Returns the vector as a number of cores, for comparing the cost of work. */
    public double cores() {
        return milliCpu / MILLI + accelerators * CORES_PER_ACCELERATOR;
    }
}
