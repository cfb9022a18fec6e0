package io.pollenreach.bench.experiment;

/** What an experiment reports of each trial. Immutable; each constant knows its unit and which way is better. */
enum Measure {
    COMPLETION_P50("completion p50", "ms", false),
    COMPLETION_P99("completion p99", "ms", false),
    CREST("in time at the crest", "%", true),
    BLOCKING_P99("short work's wait p99", "x own length", false),
    FRAGMENTATION("free accelerators beyond the largest rack-adjacent gang", "%", false),
    GANG_STARVED("time that a gang waits though enough accelerators are free", "%", false),
    IDLE_WHILE_WAITING("accelerators idle while jobs wait", "%", false),
    GANG_WAIT_P99("wait of gangs p99", "ms", false),
    UNFINISHED("without a result", "count", false);

    private final String title;
    private final String unit;
    private final boolean higherIsBetter;

    Measure(String title, String unit, boolean higherIsBetter) {
        this.title = title;
        this.unit = unit;
        this.higherIsBetter = higherIsBetter;
    }

    String title() {
        return title;
    }

    String unit() {
        return unit;
    }

    /** Tells whether a value is better than another. */
    boolean better(double a, double b) {
        return higherIsBetter ? a > b : a < b;
    }
}
