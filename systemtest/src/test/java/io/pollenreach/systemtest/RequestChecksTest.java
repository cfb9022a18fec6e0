package io.pollenreach.systemtest;

import java.util.List;

import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Sees each check pass on a good history and fail on a bad one. */
class RequestChecksTest {
    private static final List<HistoryEntry> ONE_RUN = List.of(started("r1"));
    private static final List<HistoryEntry> TWO_RUNS = List.of(started("r1"), started("r1"));
    private static final String BODY = "{\"requestId\":\"r1\",\"workspace\":\"shop-a\",\"echo\":\"e1\",\"runs\":1}";

    @Test
    void nonIdempotentRequestThatRanTwiceFails() {
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(false, 0, BODY))).atMostOnce())
                .isEmpty();
        assertThat(new RequestChecks(TWO_RUNS, List.of(reply(false, 3003, ""))).atMostOnce())
                .hasSize(1);
        assertThat(new RequestChecks(TWO_RUNS, List.of(reply(true, 0, BODY))).atMostOnce())
                .isEmpty();
    }

    @Test
    void requestThatRanAfterANotRunAnswerFails() {
        assertThat(new RequestChecks(List.of(), List.of(reply(true, 3001, ""))).refusedNeverRan())
                .isEmpty();
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(true, 3001, ""))).refusedNeverRan())
                .hasSize(1);
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(true, 3002, ""))).refusedNeverRan())
                .isEmpty();
    }

    @Test
    void answerOfAnotherRequestOrInPartFails() {
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(true, 0, BODY))).answersMatch())
                .isEmpty();
        String other = BODY.replace("e1", "e2");
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(true, 0, other))).answersMatch())
                .hasSize(1);
        String cut = BODY.substring(0, BODY.length() / 2);
        assertThat(new RequestChecks(ONE_RUN, List.of(reply(true, 0, cut))).answersMatch())
                .hasSize(1);
    }

    @Test
    void configurationThatGoesBackFails() {
        List<ConfigSeen> good = List.of(new ConfigSeen("e1", 1, 4), new ConfigSeen("e2", 2, 3));
        assertThat(new ConfigChecks(good).neverReverts()).isEmpty();
        assertThat(new ConfigChecks(good).neverBelow(3, 0)).isEmpty();
        assertThat(new ConfigChecks(good).neverBelow(4, 2)).hasSize(1);
        List<ConfigSeen> bad = List.of(new ConfigSeen("e1", 1, 4), new ConfigSeen("e1", 2, 3));
        assertThat(new ConfigChecks(bad).neverReverts()).hasSize(1);
    }

    private static CallerReply reply(boolean idempotent, int code, String body) {
        return new CallerReply("shop-a", "r1", idempotent, "e1", code, body);
    }

    private static HistoryEntry started(String id) {
        return new HistoryEntry(1, 0, 0, new HistoryEvent.RequestStarted("shop-a", id, 1));
    }
}
