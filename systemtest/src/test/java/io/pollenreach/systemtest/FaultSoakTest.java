package io.pollenreach.systemtest;

import java.util.Arrays;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The promises of the platform's pages hold under faults drawn from seeds.
 *
 * <p>To run other seeds by hand, for longer: {@code mvn -B verify -pl systemtest -am -Dtest=FaultSoakTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dsoak.seeds=1-50 -Dsoak.seconds=30}. With {@code -Dsoak.list=complete} the
 * list of machines names every worker all the time. The logs of a seed are under
 * {@code systemtest/target/clusters/soak-SEED}, with the faults and their times in {@code faults.log}.
 */
class FaultSoakTest {
    /** A short run, and the seeds that ever failed. */
    private static final String SEEDS = "1,2";

    private static final int SECONDS = 8;

    @TestFactory
    Stream<DynamicTest> keepsThePromisesUnderFaults() {
        int seconds = Integer.getInteger("soak.seconds", SECONDS);
        boolean listComplete = System.getProperty("soak.list", "").equals("complete");
        return seeds(System.getProperty("soak.seeds", SEEDS))
                .mapToObj(seed -> DynamicTest.dynamicTest(
                        "seed " + seed, () -> assertThat(new FaultSoak(seed, seconds, listComplete).run())
                                .as("seed %d, logs under %s", seed, FaultSoak.directory(seed))
                                .isEmpty()));
    }

    /** Reads seeds such as {@code 1-3,7}. */
    private static LongStream seeds(String text) {
        return Arrays.stream(text.split(",")).flatMapToLong(part -> {
            String[] ends = part.split("-");
            return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
        });
    }
}
