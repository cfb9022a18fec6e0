package io.pollenreach.internal.intake;

import io.pollenreach.internal.batch.Resources;

/**
 * An amount of work: resources times the time for which they are needed.
 *
 * <p>Immutable.
 *
 * @param milliCpuMs thousandths of a core times milliseconds
 * @param memoryMbMs megabytes times milliseconds
 * @param acceleratorMs accelerators times milliseconds
 */
public record Work(double milliCpuMs, double memoryMbMs, double acceleratorMs) {
    /** No work. */
    public static final Work NONE = new Work(0, 0, 0);

    /** Returns the work of something that needs resources for a time, in milliseconds. */
    public static Work of(Resources need, double ms) {
        return new Work(need.milliCpu() * ms, need.memoryMb() * ms, need.accelerators() * ms);
    }

    /** Returns the sum of both amounts. */
    public Work plus(Work o) {
        return new Work(milliCpuMs + o.milliCpuMs, memoryMbMs + o.memoryMbMs, acceleratorMs + o.acceleratorMs);
    }

    /** Returns this amount without another one that is part of it. */
    Work minus(Work o) {
        return new Work(
                Math.max(0, milliCpuMs - o.milliCpuMs),
                Math.max(0, memoryMbMs - o.memoryMbMs),
                Math.max(0, acceleratorMs - o.acceleratorMs));
    }

    /** Tells whether the amount is a possible one. */
    boolean isValid() {
        return valid(milliCpuMs) && valid(memoryMbMs) && valid(acceleratorMs);
    }

    private static boolean valid(double amount) {
        return Double.isFinite(amount) && amount >= 0;
    }

    /**
     * Returns the shortest time in which workers can do this work, in milliseconds; a resource of which they have none
     * is left out.
     */
    public double drainMs(Resources capacity) {
        double cpuMs = ratio(milliCpuMs, capacity.milliCpu());
        double memoryMs = ratio(memoryMbMs, capacity.memoryMb());
        return Math.max(Math.max(cpuMs, memoryMs), ratio(acceleratorMs, capacity.accelerators()));
    }

    private static double ratio(double work, double capacity) {
        return capacity <= 0 ? 0 : work / capacity;
    }
}
