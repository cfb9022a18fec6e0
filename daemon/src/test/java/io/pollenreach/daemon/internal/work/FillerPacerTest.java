package io.pollenreach.daemon.internal.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.pollenreach.internal.batch.TaskId;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders.OrderedRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FillerPacerTest {
    private static final TaskRun SERVING = new TaskRun(TaskId.of("serving.0.0.0"), 1);
    private static final TaskRun FILLER = new TaskRun(TaskId.of("filler.0.0.0"), 1);
    private static final List<OrderedRun> RUNS = List.of(
            new OrderedRun(SERVING, "", "", "", 100, false, false), new OrderedRun(FILLER, "", "", "", 0, true, false));

    private final FillerPacer pacer = new FillerPacer(0);
    private final List<Integer> told = new ArrayList<>();
    private boolean fails;

    private void poll(int latencyMs, long nowMs) {
        pacer.adjust(RUNS, Map.of(SERVING, latencyMs), nowMs, (run, percent, answered) -> {
            assertThat(run).isEqualTo(FILLER);
            told.add(percent);
            answered.accept(!fails);
        });
    }

    // An earlier process of the agent may have slowed it.
    @Test
    void tellsAFillerItsPaceWhenItIsFirstSeen() {
        poll(10, 100);
        poll(10, 200);

        assertThat(told).containsExactly(100);
    }

    @Test
    void slowsFillersWhileATargetIsMissed() {
        poll(10, 100);
        poll(150, 1_000);

        assertThat(told).containsExactly(100, 25);
    }

    @Test
    void tellsAPaceAgainThatTheWorkerDidNotTake() {
        fails = true;
        poll(10, 100);
        fails = false;
        poll(10, 200);
        poll(10, 300);

        assertThat(told).containsExactly(100, 100);
    }

    // Guards against a filler that stays too fast for good: the worker carried out an order late, over newer ones,
    // and the pace had reached 0, where it changes no more (the trial "pace" of the second review).
    @Test
    void tellsAPaceAgainThatALateOrderMayHaveOverridden() {
        poll(10, 100);
        poll(10, 100 + FillerPacer.REPEAT_MS - 1);
        poll(10, 100 + FillerPacer.REPEAT_MS);
        poll(10, 200 + FillerPacer.REPEAT_MS);

        assertThat(told).containsExactly(100, 100);
    }

    // Guards against calls that crowd out the poll: each of very many fillers was told its pace at once.
    @Test
    void hasFewCallsInFlight() {
        List<OrderedRun> fillers = IntStream.range(0, 400)
                .mapToObj(i -> new OrderedRun(new TaskRun(TaskId.of("f.0.0." + i), 1), "", "", "", 0, true, false))
                .toList();
        Deque<Consumer<Boolean>> unanswered = new ArrayDeque<>();
        List<TaskRun> paced = new ArrayList<>();
        pacer.adjust(fillers, Map.of(), 100, (run, percent, answered) -> {
            paced.add(run);
            unanswered.add(answered);
        });
        assertThat(paced).hasSizeLessThan(10);

        while (!unanswered.isEmpty()) {
            unanswered.remove().accept(true);
            assertThat(unanswered).hasSizeLessThan(10);
        }

        assertThat(paced).hasSize(400).doesNotHaveDuplicates();
    }
}
