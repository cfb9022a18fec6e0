package io.pollenreach.bench.emulator;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RunRecordTest {
    private static final String TASK = "0000000000000001.0.0.0";
    private final RunRecord record = new RunRecord();

    private void start(int run, String worker) {
        record.started(TASK, run, worker, 1, 1);
    }

    private void endAsDone(int run) {
        record.ended(TASK);
        record.done(TASK, run);
    }

    @Test
    void reportsTwoRunsAtOnce() {
        start(1, "w1");
        start(2, "w2");

        assertThat(record.violationsUnderLease()).hasSize(1);
    }

    @Test
    void reportsAStartAfterANotedEnd() {
        start(1, "w1");
        endAsDone(1);
        record.noted(TASK, 1, false);
        start(2, "w2");

        assertThat(record.violationsUnderLease()).hasSize(1);
    }

    @Test
    void reportsAStartAfterAnEndThatIsNotedLater() {
        start(1, "w1");
        endAsDone(1);
        start(2, "w2");
        record.noted(TASK, 1, false);

        assertThat(record.violationsUnderLease()).hasSize(1);
    }

    @Test
    void allowsAStartBeforeAnotherRunEndsAsDone() {
        start(1, "w1");
        endAsDone(1);
        start(2, "w2");
        endAsDone(2);
        record.noted(TASK, 2, false);

        assertThat(record.violations()).isEmpty();
    }

    @Test
    void tellsAStartAfterAnEndThatIsNotedOnceTheLeaseHasLapsed() {
        start(1, "w1");
        endAsDone(1);
        record.noted(TASK, 1, true);
        start(2, "w2");

        assertThat(record.violations()).hasSize(1);
        assertThat(record.violationsUnderLease()).isEmpty();
    }
}
