package io.pollenreach.internal.claims;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.ManualClock;
import org.jetbrains.lincheck.LincheckAssertionError;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Checks every interleaving of small scenarios for linearizability, and that the check detects a missing lock. */
class RequestTableModelCheckTest {
    private static final int SCENARIOS = 15;
    private static final int INTERLEAVINGS = 150;

    @Test
    void requestTableIsLinearizable() {
        options().check(Locked.class);
    }

    @Test
    void checkDetectsAdmitAndRecordTombstoneWithoutLock() {
        assertThatThrownBy(() -> options().check(Unlocked.class)).isInstanceOf(LincheckAssertionError.class);
    }

    private static ModelCheckingOptions options() {
        return new ModelCheckingOptions()
                .iterations(SCENARIOS)
                .invocationsPerIteration(INTERLEAVINGS)
                .threads(2)
                .actorsPerThread(2)
                .actorsBefore(1)
                .actorsAfter(1);
    }

    /** The operations of the real table on two keys. */
    @Param(name = "key", gen = IntGen.class, conf = "1:2")
    public static class Locked {
        private final RequestTable table = new RequestTable(new ManualClock(), 2, 2, 1);

        @Operation
        public Admission admit(@Param(name = "key") int key) {
            return table.admit("w/" + key);
        }

        @Operation
        public boolean recordTombstone(@Param(name = "key") int key) {
            return table.recordTombstone("w/" + key);
        }

        @Operation
        public void finish(@Param(name = "key") int key) {
            table.finish("w/" + key);
        }

        @Operation
        public boolean finishUnsent(@Param(name = "key") int key) {
            return table.finishUnsent("w/" + key);
        }
    }

    /** A broken table that looks a key up and then writes it without a lock. */
    @Param(name = "key", gen = IntGen.class, conf = "1:2")
    public static class Unlocked {
        private final Map<Integer, Admission> states = new ConcurrentHashMap<>();

        @Operation
        public Admission admit(@Param(name = "key") int key) {
            Admission state = states.get(key);
            if (state != null) {
                return state;
            }
            states.put(key, Admission.ALREADY_STARTED);
            return Admission.STARTED;
        }

        @Operation
        public boolean recordTombstone(@Param(name = "key") int key) {
            if (states.get(key) == Admission.ALREADY_STARTED) {
                return false;
            }
            states.put(key, Admission.TOMBSTONED);
            return true;
        }
    }
}
