package io.pollenreach.internal.batch;

/** What can still be reached for waiting work if it starts at once; the first values are served first. */
enum Timeliness {
    IN_TIME("in-time"),
    LATE("late"),
    PAST_USE("past-use");

    private final String logName;

    Timeliness(String logName) {
        this.logName = logName;
    }

    /** Returns the name in logs and metrics. */
    String logName() {
        return logName;
    }
}
