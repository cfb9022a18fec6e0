package io.pollenreach.internal.batch;

/**
 * A vector of resources: the need of a task, or the capacity of a worker.
 *
 * <p>Immutable.
 *
 * @param milliCpu thousandths of a core
 * @param memoryMb megabytes of memory
 * @param accelerators whole accelerators
 */
public record Resources(long milliCpu, long memoryMb, int accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Cores that cost as much as one accelerator, by the platform's price list. */
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

    /** Returns the need of several tasks that need this vector each. */
    Resources times(int tasks) {
        return new Resources(milliCpu * tasks, memoryMb * tasks, accelerators * tasks);
    }

    /** Tells whether this need fits in {@code room}, the free capacity, in every component. */
    public boolean fitsIn(Resources room) {
        return milliCpu <= room.milliCpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /** Returns the vector as a number of cores, for comparing the cost of work. */
    public double cores() {
        return milliCpu / MILLI + accelerators * CORES_PER_ACCELERATOR;
    }
}
