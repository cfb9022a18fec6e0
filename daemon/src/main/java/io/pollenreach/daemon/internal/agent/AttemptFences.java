package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.TimeUnit;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.AttemptId;

/**
 * Remembers for each job the newest attempt that was admitted and the newest one that was stopped, to refuse older
 * ones.
 *
 * <p>Invariant: both numbers only grow, until the job has not been looked up for {@link #RETENTION_MS}; then both are
 * forgotten. Not safe for use by many threads; callers hold the lock of {@link PartTable}.
 */
final class AttemptFences {
    private static final long RETENTION_MS = 3_600_000;

    private final Cache<String, Fence> fences;

    private static final class Fence {
        private int newestSeen;
        private int newestStopped;
    }

    AttemptFences(Clock clock) {
        Ticker ticker = new Ticker() {
            @Override
            public long read() {
                return TimeUnit.MILLISECONDS.toNanos(clock.nowMs());
            }
        };
        fences = CacheBuilder.newBuilder()
                .ticker(ticker)
                .expireAfterAccess(RETENTION_MS, TimeUnit.MILLISECONDS)
                .build();
    }

    /**
     * Fails with {@code STALE_ATTEMPT} when a newer attempt was seen, or this or a newer one was stopped; else records
     * it.
     */
    void admit(AttemptId id) {
        Fence fence = fence(id.job());
        if (id.attempt() <= fence.newestStopped) {
            throw stale(id, "attempt " + fence.newestStopped + " was already stopped");
        }
        if (id.attempt() < fence.newestSeen) {
            throw stale(id, "the newer attempt " + fence.newestSeen + " was already seen");
        }
        fence.newestSeen = id.attempt();
    }

    /** Refuses this attempt and all older ones from now on. */
    void stop(String job, int attempt) {
        Fence fence = fence(job);
        fence.newestStopped = Math.max(fence.newestStopped, attempt);
        fence.newestSeen = Math.max(fence.newestSeen, attempt);
    }

    private Fence fence(String job) {
        Fence known = fences.getIfPresent(job);
        if (known != null) {
            return known;
        }
        Fence fence = new Fence();
        fences.put(job, fence);
        return fence;
    }

    private static PollenreachException stale(AttemptId id, String reason) {
        return new PollenreachException(
                ResultCode.STALE_ATTEMPT, id.job() + " attempt " + id.attempt() + ": " + reason);
    }
}
