package io.pollenreach.daemon.internal.agent;

import java.util.List;
import java.util.Random;

import io.pollenreach.daemon.internal.services.TaskStatus.State;
import io.pollenreach.internal.gang.GangTimes;
import io.pollenreach.internal.wire.AttemptId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GangFaultsTest {
    private static final long BOUND_MS =
            2 * GangTimes.GANG_TIMEOUT_MS + GangTimes.HEARTBEAT_INTERVAL_MS + 2 * AgentTimes.TICK_MS;
    private static final int SEEDS = 150;
    private static final int STEPS = 300;
    private static final int FAULT_EVERY_STEPS = 12;

    private static final List<String> GANG = List.of("w1", "w2", "w3", "w4");
    private static final AttemptId CUT = Workers.id("shop-a/cut", 1);

    private static State state(Workers w, int rank) {
        return w.runtimes.get(GANG.get(rank)).state("shop-a.cut.1." + rank);
    }

    private static void disturb(Workers w, Random random) {
        String worker = GANG.get(random.nextInt(GANG.size()));
        switch (random.nextInt(5)) {
            case 0:
                w.rpc.cut.add(worker);
                break;
            case 1:
                w.rpc.cut.clear();
                break;
            case 2:
                w.paused.add(worker);
                break;
            case 3:
                w.paused.clear();
                break;
            default:
                w.runtimes.get(worker).failsAllCalls = !w.runtimes.get(worker).failsAllCalls;
        }
    }

    @Test
    void noPartRunsLongAfterAnotherStoppedWhateverIsCutOrPaused() {
        int broken = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Workers w = new Workers("w1", "w2", "w3", "w4");
            w.runGang(CUT, 8, GANG);
            long brokenMs = 0;
            for (int step = 0; step < STEPS; step++) {
                if (random.nextInt(FAULT_EVERY_STEPS) == 0) {
                    disturb(w, random);
                }
                w.run(AgentTimes.TICK_MS);
                int running = 0;
                for (int rank = 0; rank < GANG.size(); rank++) {
                    running += state(w, rank) == State.RUNNING ? 1 : 0;
                }
                brokenMs += running < GANG.size() ? AgentTimes.TICK_MS : 0;
                // A silent runtime takes no stop either, so its tasks run until their lease lapses.
                if (brokenMs > BOUND_MS + AgentTimes.TASK_LEASE_MS) {
                    assertThat(running).as("seed %d step %d", seed, step).isZero();
                }
            }
            broken += brokenMs > 0 ? 1 : 0;
        }
        assertThat(broken).isGreaterThan(SEEDS / 2);
    }
}
