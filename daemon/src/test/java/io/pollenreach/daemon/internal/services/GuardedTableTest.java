package io.pollenreach.daemon.internal.services;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.TextNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuardedTableTest {
    private static final Write WRITE = new Write("jobs", "a/b", 0, TextNode.valueOf("x"));

    private final ManualClock clock = new ManualClock();
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final FakeTable fake = new FakeTable();
    private final ArrayDeque<Runnable> delayed = new ArrayDeque<>();
    private final Random random = new Random(11);
    private final GuardedTable table = new GuardedTable(
            fake, clock, random::nextDouble, (delayMs, action) -> delayed.add(action), Optional.of(metrics));

    @Test
    void readIsRetriedWhenThePlatformIsUnavailable() {
        fake.fail(ResultCode.PLATFORM_UNAVAILABLE, 2);
        CompletableFuture<Optional<Row>> read = table.get("jobs", "a/b");
        runDelayed();
        assertThat(read).isCompletedWithValue(Optional.empty());
        assertThat(fake.calls).isEqualTo(3);
        assertThat(metrics.counter("pollenreach.table.retries", "operation", "get")
                        .count())
                .isEqualTo(2);
    }

    @Test
    void writeThatSurelyWroteNothingIsRetried() {
        fake.fail(ResultCode.PLATFORM_UNAVAILABLE, 1);
        CompletableFuture<Long> write = table.put(WRITE);
        runDelayed();
        assertThat(write).isCompletedWithValue(1L);
        assertThat(fake.calls).isEqualTo(2);
    }

    @Test
    void writeWhoseAnswerWasLostIsNeverSentAgain() {
        fake.fail(ResultCode.WRITE_UNKNOWN, 1);
        assertThat(code(table.put(WRITE))).isEqualTo(ResultCode.WRITE_UNKNOWN);
        assertThat(delayed).isEmpty();
        assertThat(fake.calls).isEqualTo(1);
    }

    @Test
    void conflictsGoToTheCallerAndDoNotOpenTheCircuit() {
        fake.fail(ResultCode.CONFLICT, 50);
        for (int i = 0; i < 50; i++) {
            assertThat(code(table.put(WRITE))).isEqualTo(ResultCode.CONFLICT);
        }
        assertThat(table.put(WRITE)).isCompletedWithValue(1L);
    }

    @Test
    void failingWritesDoNotStopReads() {
        fake.fail(ResultCode.WRITE_UNKNOWN, 5);
        for (int i = 0; i < 5; i++) {
            table.put(WRITE);
        }
        assertThat(code(table.put(WRITE))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
        assertThat(fake.calls).isEqualTo(5);
        assertThat(table.get("jobs", "a/b")).isCompletedWithValue(Optional.empty());
    }

    @Test
    void manyProcessesDoNotFallUponAPlatformThatReturns() {
        List<GuardedTable> tables = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            tables.add(new GuardedTable(fake, clock, random::nextDouble, (d, a) -> {}, Optional.empty()));
        }
        fake.fail(ResultCode.PLATFORM_UNAVAILABLE, Integer.MAX_VALUE);
        int probes = 0;
        for (int ms = 0; ms < 30_000; ms += 10) {
            probes += callAll(tables);
        }
        assertThat(probes).as("calls during an outage of 30 s, by 20 processes").isLessThan(20 * 40);

        fake.fail(ResultCode.OK, 0);
        int peak = 0;
        for (int ms = 0; ms < 1_000; ms += 10) {
            peak = Math.max(peak, callAll(tables));
        }
        assertThat(peak).as("calls in any 10 ms of the first second").isLessThanOrEqualTo(10);
        for (int ms = 0; ms < 10_000; ms += 10) {
            callAll(tables);
        }
        assertThat(callAll(tables)).isEqualTo(20);
    }

    private int callAll(List<GuardedTable> tables) {
        int before = fake.calls;
        tables.forEach(t -> t.get("jobs", "a/b"));
        clock.advanceMs(10);
        return fake.calls - before;
    }

    private void runDelayed() {
        while (!delayed.isEmpty()) {
            delayed.poll().run();
        }
    }

    private static ResultCode code(CompletableFuture<?> future) {
        assertThat(future).isDone();
        return future.handle((v, t) ->
                        t == null ? ResultCode.OK : PollenreachException.of(t).code())
                .join();
    }

    /** Fails as told, then succeeds. Used by one thread. */
    private static final class FakeTable implements Table {
        private ResultCode code = ResultCode.OK;
        private int left;
        private int calls;

        void fail(ResultCode with, int times) {
            code = with;
            left = times;
        }

        @Override
        public CompletableFuture<Optional<Row>> get(String name, String key) {
            return answer(Optional.empty());
        }

        @Override
        public CompletableFuture<RowList> list(String name, String prefix, long since) {
            return answer(new RowList(0, List.of()));
        }

        @Override
        public CompletableFuture<List<Long>> transact(List<Write> writes) {
            return answer(List.of(1L));
        }

        private <T> CompletableFuture<T> answer(T value) {
            calls++;
            if (left == 0) {
                return CompletableFuture.completedFuture(value);
            }
            left--;
            return CompletableFuture.failedFuture(new PollenreachException(code, "told to fail"));
        }
    }
}
