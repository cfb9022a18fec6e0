package io.pollenreach.internal.intake;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PublishedCountsTest {
    private final PublishedCounts counts = new PublishedCounts();

    // Guards against 0 for a count that an entry has not heard yet.
    @Test
    void knowsNothingBeforeTheFirstPublication() {
        assertThat(counts.waiting("q", 0)).isEmpty();
    }

    @Test
    void tellsTheNewestCountsAndZeroForAQueueThatTheyDoNotName() {
        counts.publish(Map.of("q", 4, "r", 1), 0);
        counts.publish(Map.of("q", 3), 500);

        assertThat(counts.waiting("q", 600)).hasValue(3);
        assertThat(counts.waiting("r", 600)).hasValue(0);
    }

    // Guards against counts of a leader that is gone.
    @Test
    void forgetsCountsThatAreOlderThanCallersMayBeTold() {
        counts.publish(Map.of("q", 3), 0);

        assertThat(counts.waiting("q", PublishedCounts.MAX_AGE_MS)).hasValue(3);
        assertThat(counts.waiting("q", PublishedCounts.MAX_AGE_MS + 1)).isEmpty();
    }
}
