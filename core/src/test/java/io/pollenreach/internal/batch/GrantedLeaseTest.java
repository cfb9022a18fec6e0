package io.pollenreach.internal.batch;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** No worker counts as lost before every lease has expired, whatever length each process has read at its start. */
class GrantedLeaseTest {
    private static final int STEPS = 60;
    private static final int LONGEST_STEP_MS = 4_000;
    private static final double SLOWEST_CLOCK = 1.02;

    // Guards against two runs at once: the agent was started again with shorter leases, and the one before had just
    // granted a longer one.
    @Test
    void tellsTheLeaseOfTheProcessBeforeUntilItHasExpired() {
        GrantedLease lease = new GrantedLease(6_000, 10_000, 1_000);

        assertThat(lease.longestMs(1_000)).isEqualTo(10_000);
        assertThat(lease.longestMs(11_400)).isEqualTo(10_000);
        assertThat(lease.longestMs(11_401)).isEqualTo(6_000);
    }

    @Test
    void tellsItsOwnLeaseIfThatIsLonger() {
        assertThat(new GrantedLease(10_000, 6_000, 0).longestMs(0)).isEqualTo(10_000);
        assertThat(new GrantedLease(6_000, 0, 0).longestMs(0)).isEqualTo(6_000);
    }

    // Each side reads the length of a lease when it starts, in any order, while the settings change again and again.
    @Property(tries = 400, seed = "6")
    void noWorkerIsLostBeforeEveryLeaseHasExpired(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        SchedulerFixture scheduler = new SchedulerFixture();
        long schedulerLeaseMs = lease(random);
        long agentLeaseMs = lease(random);
        long nowMs = 0;
        GrantedLease told = new GrantedLease(agentLeaseMs, 0, nowMs);
        long leasedUntilMs = 0;
        for (int i = 0; i < STEPS; i++) {
            long stepMs = random.nextInt(LONGEST_STEP_MS);
            nowMs += stepMs;
            scheduler.runPass(stepMs);
            switch (random.nextInt(4)) {
                case 0 -> schedulerLeaseMs = lease(random);
                case 1 -> {
                    // The agent starts again; its registration tells what the report before told.
                    long formerMs = told.longestMs(nowMs);
                    agentLeaseMs = lease(random);
                    told = new GrantedLease(agentLeaseMs, formerMs, nowMs);
                    report(scheduler, told, nowMs);
                }
                case 2 -> {
                    report(scheduler, told, nowMs);
                    leasedUntilMs = Math.max(leasedUntilMs, nowMs + Math.round(agentLeaseMs * SLOWEST_CLOCK));
                }
                default -> {
                    // The agent is silent.
                }
            }
            boolean lost = !new LostWorkerDetector(scheduler.state().workers(), schedulerLeaseMs)
                    .find(forMs -> true, nowMs)
                    .isEmpty();
            assertThat(lost && nowMs <= leasedUntilMs)
                    .as("step %s of seed %s", i, seed)
                    .isFalse();
        }
    }

    private static long lease(Random random) {
        return 1_000L * (2 + random.nextInt(12));
    }

    private static void report(SchedulerFixture scheduler, GrantedLease told, long nowMs) {
        scheduler.setLease(told.longestMs(nowMs));
        scheduler.worker("w1", "r1");
    }
}
