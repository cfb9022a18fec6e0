package io.pollenreach.systemtest;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The promises of the platform's pages hold under faults drawn from seeds.
 *
 * <p>To run other seeds by hand, for longer: {@code mvn -B verify -pl systemtest -am -Dtest=FaultSoakTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=1-50 -Dsoak.seconds=20}. With {@code -Dsoak.list=complete} the
 * list of machines names every worker all the time. The logs of a seed are under
 * {@code systemtest/target/clusters/soak-SEED}, with the faults and their times in {@code faults.log}.
 */
class FaultSoakTest {
    private static final int SECONDS = 8;
    // Seed 102 failed once as seed 3 does; its agent was silenced and paused.
    private static final List<Case> SHORT_RUN = List.of(new Case(101, SECONDS), new Case(102, SECONDS));

    /** Seeds that failed once, with the length of their run, which also decides the faults. */
    private static final List<Case> REGRESSIONS = List.of(
            // Two runs at once: the list of machines left out the worker of an agent that was cut off (issue 27).
            new Case(3, 20),
            // The same, where the agent was cut off for a second after its reports had met a store that lost answers.
            new Case(7, 20));

    private record Case(long seed, int seconds) {}

    @TestFactory
    Stream<DynamicTest> keepsThePromisesUnderFaults() {
        String seeds = System.getProperty("soak.seeds", "");
        if (seeds.isEmpty()) {
            return SHORT_RUN.stream().map(FaultSoakTest::test);
        }
        int seconds = Integer.getInteger("soak.seconds", SECONDS);
        return seeds(seeds).mapToObj(seed -> test(new Case(seed, seconds)));
    }

    @TestFactory
    Stream<DynamicTest> keepsThePromisesWithSeedsThatFailedBefore() {
        return REGRESSIONS.stream().map(FaultSoakTest::test);
    }

    private static DynamicTest test(Case run) {
        boolean listComplete = System.getProperty("soak.list", "").equals("complete");
        return DynamicTest.dynamicTest("seed " + run.seed(), () -> assertThat(
                        new FaultSoak(run.seed(), run.seconds(), listComplete).run())
                .as("seed %d for %d s, logs under %s", run.seed(), run.seconds(), FaultSoak.directory(run.seed()))
                .isEmpty());
    }

    /** Reads seeds such as {@code 1-3,7}. */
    private static LongStream seeds(String text) {
        return Arrays.stream(text.split(",")).flatMapToLong(part -> {
            String[] ends = part.split("-");
            return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
        });
    }
}
