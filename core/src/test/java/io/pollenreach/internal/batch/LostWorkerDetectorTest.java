package io.pollenreach.internal.batch;

import java.util.function.LongPredicate;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LostWorkerDetectorTest {
    private static final long LEASE_MS = 6_000;

    /** The lease on a clock that is 2% slow, and the margin for late timers, in milliseconds. */
    private static final long LOST_AFTER_MS = 6_320;

    private static final LongPredicate STORE_AVAILABLE = forMs -> true;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final LostWorkerDetector detector =
            new LostWorkerDetector(fixture.state().workers(), LEASE_MS);

    private long reportedMs() {
        fixture.worker("w1", "r1");
        fixture.submit(Jobs.job("a").step(Jobs.step(1, 1)));
        return fixture.state().workers().get("w1").reportedMs();
    }

    // Guards against two runs at once: a worker whose agent was silent for seconds went on under its lease.
    @Test
    void findsNoWorkerWhoseLeaseMayStillBeValid() {
        long reportedMs = reportedMs();

        assertThat(detector.find(STORE_AVAILABLE, reportedMs + LOST_AFTER_MS)).isEmpty();
    }

    @Test
    void findsAWorkerOnceEveryLeaseHasExpired() {
        long reportedMs = reportedMs();

        assertThat(detector.find(STORE_AVAILABLE, reportedMs + LOST_AFTER_MS + 1))
                .extracting(WorkerReport::agent)
                .containsExactly("w1");
    }

    // Guards against two runs at once: an agent that had started again after the settings changed granted longer leases
    // than the scheduler had read at its own start (review/6).
    @Test
    void countsWithTheLeaseThatTheAgentGrants() {
        fixture.setLease(10_000);
        long reportedMs = reportedMs();

        assertThat(detector.find(STORE_AVAILABLE, reportedMs + 10_400)).isEmpty();
        assertThat(detector.find(STORE_AVAILABLE, reportedMs + 10_401)).hasSize(1);
    }

    @Test
    void countsWithItsOwnLeaseIfThatIsLonger() {
        fixture.setLease(2_000);
        long reportedMs = reportedMs();

        assertThat(detector.find(STORE_AVAILABLE, reportedMs + LOST_AFTER_MS)).isEmpty();
    }

    // An agent of an earlier version does not tell its lease, and may have read the same settings as one that does.
    @Test
    void countsWithTheLongestLeaseForAnAgentThatTellsNone() {
        fixture.setLease(10_000);
        fixture.worker("w2", "r1");
        fixture.setLease(0);
        long reportedMs = reportedMs();

        assertThat(detector.find(STORE_AVAILABLE, reportedMs + 10_400)).isEmpty();
        assertThat(detector.find(STORE_AVAILABLE, reportedMs + 10_401))
                .extracting(WorkerReport::agent)
                .containsExactly("w1", "w2");
    }

    // Guards against taking an outage of the store for the silence of all agents.
    @Test
    void findsNoWorkerSoonAfterTheStoreHasReturned() {
        long reportedMs = reportedMs();

        assertThat(detector.find(forMs -> forMs < 2_000, reportedMs + 60_000)).isEmpty();
    }
}
