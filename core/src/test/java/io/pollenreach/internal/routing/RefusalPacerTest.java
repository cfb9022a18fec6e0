package io.pollenreach.internal.routing;

import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RefusalPacerTest {
    private static final OptionalLong PATIENT = OptionalLong.of(3_000);
    private static final int CALLERS_PER_S = 40;
    private static final int OUTAGE_S = 6;

    private final Random random = new Random(1);

    private RefusalPacer pacer() {
        return new RefusalPacer(random::nextInt);
    }

    @Test
    void sendsCallersBackSoonAfterAShortDisturbance() {
        RefusalPacer pacer = pacer();
        for (int ms = 0; ms < 1_000; ms += 50) {
            assertThat(pacer.recordRefused(ms, PATIENT)).isEqualTo(RefusalPacer.MIN_DELAY_S);
        }
    }

    @Test
    void startsAnewOnceACallWasServed() {
        RefusalPacer pacer = pacer();
        pacer.recordRefused(0, PATIENT);
        pacer.recordServed();

        assertThat(pacer.recordRefused(60_000, PATIENT)).isEqualTo(RefusalPacer.MIN_DELAY_S);
    }

    @Test
    void neverSendsACallerBackLaterThanItWaits() {
        RefusalPacer pacer = pacer();
        pacer.recordRefused(0, PATIENT);
        for (int ms = 10_000; ms < 20_000; ms += 10) {
            assertThat(pacer.recordRefused(ms, OptionalLong.of(1_200))).isEqualTo(RefusalPacer.MIN_DELAY_S);
            assertThat(pacer.recordRefused(ms, PATIENT)).isBetween(1, 3);
        }
    }

    /** Returns the largest number of callers in a second after an outage of some seconds. */
    private int crestAfterOutage(RefusalPacer pacer) {
        PriorityQueue<Integer> calls = new PriorityQueue<>();
        for (int i = 0; i < CALLERS_PER_S * OUTAGE_S; i++) {
            calls.add(i * 1_000 / CALLERS_PER_S);
        }
        int[] perSecond = new int[RefusalPacer.MAX_DELAY_S + 1];
        while (!calls.isEmpty()) {
            int ms = calls.remove();
            if (ms < OUTAGE_S * 1_000) {
                calls.add(ms + 1_000 * pacer.recordRefused(ms, PATIENT));
            } else {
                perSecond[ms / 1_000 - OUTAGE_S]++;
            }
        }
        int crest = 0;
        for (int count : perSecond) {
            crest = Math.max(crest, count);
        }
        return crest;
    }

    // With one delay for all, the 240 callers of the outage came back in the second after it.
    @Test
    void spreadsTheReturnOfCallersAfterAnOutage() {
        int together = crestAfterOutage(new RefusalPacer(n -> 0));

        assertThat(together).isEqualTo(CALLERS_PER_S * OUTAGE_S);
        assertThat(crestAfterOutage(pacer())).isLessThan(together * 2 / 3);
    }
}
