package io.pollenreach.internal.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RefusedCallsTest {
    private final RefusedCalls calls = new RefusedCalls();

    // Guards against two runs at once: two calls that were refused 150 ms apart counted as the end of a worker.
    @Test
    void takesABriefRefusalForNoEnd() {
        assertThat(calls.add(1_000)).isFalse();
        assertThat(calls.add(1_150)).isFalse();
        assertThat(calls.add(1_599)).isFalse();
    }

    @Test
    void takesALastingRefusalForTheEnd() {
        calls.add(1_000);

        assertThat(calls.add(1_600)).isTrue();
    }

    @Test
    void beginsAnewAfterACallWithAnotherOutcome() {
        calls.add(1_000);
        calls.clear();

        assertThat(calls.isPending()).isFalse();
        assertThat(calls.add(2_000)).isFalse();
        assertThat(calls.isPending()).isTrue();
    }
}
