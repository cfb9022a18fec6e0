package io.pollenreach.internal.membership;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.internal.wire.TargetInfo;
import org.jetbrains.lincheck.LincheckAssertionError;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Checks every interleaving of small scenarios for linearizability, and that the check sees a missing lock. */
class TargetTableModelCheckTest {
    private static final int SCENARIOS = 15;
    private static final int INTERLEAVINGS = 150;

    @Test
    void targetTableIsLinearizable() {
        options().check(Locked.class);
    }

    @Test
    void checkCatchesOlderAnnouncementThatOverwritesNewer() {
        assertThatThrownBy(() -> options().check(Unlocked.class)).isInstanceOf(LincheckAssertionError.class);
    }

    private static ModelCheckingOptions options() {
        return new ModelCheckingOptions()
                .iterations(SCENARIOS)
                .invocationsPerIteration(INTERLEAVINGS)
                .threads(2)
                .actorsPerThread(3)
                .actorsBefore(1)
                .actorsAfter(1);
    }

    /** The operations of the real table on one target. */
    @Param(name = "sequence", gen = IntGen.class, conf = "1:3")
    public static class Locked {
        private final TargetTable table = new TargetTable();

        @Operation
        public boolean announced(@Param(name = "sequence") int sequence) {
            return table.announced(TargetTableTest.target("t", 1, sequence), 0);
        }

        @Operation
        public boolean gone() {
            return table.left("t", 0);
        }

        @Operation
        public boolean usable() {
            return table.usable("t", 0);
        }

        @Operation
        public String changes() {
            return table.changesSince(0).toString();
        }
    }

    /** A broken table that compares and then writes without a lock. */
    @Param(name = "sequence", gen = IntGen.class, conf = "1:3")
    public static class Unlocked {
        private final Map<String, TargetInfo> targets = new ConcurrentHashMap<>();

        @Operation
        public boolean announced(@Param(name = "sequence") int sequence) {
            TargetInfo info = TargetTableTest.target("t", 1, sequence);
            TargetInfo known = targets.get("t");
            if (known != null && !info.newerThan(known)) {
                return false;
            }
            targets.put("t", info);
            return true;
        }

        @Operation
        public long newest() {
            TargetInfo known = targets.get("t");
            return known == null ? 0 : known.sequence();
        }
    }
}
