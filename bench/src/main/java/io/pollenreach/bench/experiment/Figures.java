package io.pollenreach.bench.experiment;

import io.pollenreach.internal.placement.Fragmentation;
import org.HdrHistogram.Histogram;

/**
 * The measures of one trial.
 *
 * <p>Histograms hold milliseconds but for head-of-line blocking, which holds hundredths of the work's own length. Not
 * safe for use by many threads.
 */
final class Figures {
    private static final long HIGHEST = 1_000_000_000_000L;
    private static final int DIGITS = 3;
    private static final double HUNDRED = 100;

    final Histogram completion = new Histogram(HIGHEST, DIGITS);
    final Histogram blocking = new Histogram(HIGHEST, DIGITS);
    final Histogram gangWait = new Histogram(HIGHEST, DIGITS);
    private long crestInTime;
    private long crestAll;
    private long free;
    private long unreachable;
    private long starved;
    private double idleWhileWaiting;
    private long samples;
    private long unfinished;

    void complete(double ms) {
        completion.recordValue(Math.max(0, Math.round(ms)));
    }

    /** Records how long short work waited against its own length. */
    void block(double waitMs, double lengthMs) {
        blocking.recordValue(Math.max(0, Math.round(HUNDRED * waitMs / lengthMs)));
    }

    void crest(boolean inTime) {
        crestAll++;
        crestInTime += inTime ? 1 : 0;
    }

    /**
     * Records the free room at one moment.
     *
     * @param f the free room
     * @param idleShare the share of all accelerators that are free while jobs wait
     * @param gangStarved whether a gang waits that the free accelerators would hold if they were adjacent
     */
    void room(Fragmentation f, double idleShare, boolean gangStarved) {
        free += f.freeAccelerators();
        unreachable += f.freeAccelerators() - f.largestGang();
        idleWhileWaiting += idleShare;
        starved += gangStarved ? 1 : 0;
        samples++;
    }

    void unfinished() {
        unfinished++;
    }

    double value(Measure m) {
        switch (m) {
            case COMPLETION_P50:
                return completion.getValueAtPercentile(50);
            case COMPLETION_P99:
                return completion.getValueAtPercentile(99);
            case CREST:
                return crestAll == 0 ? 0 : HUNDRED * crestInTime / crestAll;
            case BLOCKING_P99:
                return blocking.getValueAtPercentile(99) / HUNDRED;
            case FRAGMENTATION:
                return free == 0 ? 0 : HUNDRED * unreachable / free;
            case GANG_STARVED:
                return samples == 0 ? 0 : HUNDRED * starved / samples;
            case IDLE_WHILE_WAITING:
                return samples == 0 ? 0 : HUNDRED * idleWhileWaiting / samples;
            case GANG_WAIT_P99:
                return gangWait.getValueAtPercentile(99);
            default:
                return unfinished;
        }
    }
}
