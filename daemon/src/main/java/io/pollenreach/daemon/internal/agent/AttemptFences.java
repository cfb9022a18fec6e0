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
 * Remembers for each job the newest attempt seen and the newest one that was stopped.
 *
 * <p>Invariant: both numbers only grow, until nothing has been heard of the job for {@link #RETENTION_MS}. Not safe for
 * use by many threads; {@link PartTable} guards it.
 */
final class AttemptFences {
    private static final long RETENTION_MS = 3_600_000;

    private final Cache<String, Fence> fences;

    private static final class Fence {
        private int seen;
        private int stopped;
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

    /** Fails with {@code STALE_ATTEMPT} when a newer attempt was seen or this one was stopped; else records it. */
    void admit(AttemptId id) {
        Fence fence = fence(id.job());
        if (id.attempt() <= fence.stopped) {
            throw stale(id, "attempt " + fence.stopped + " was stopped");
        }
        if (id.attempt() < fence.seen) {
            throw stale(id, "attempt " + fence.seen + " was seen");
        }
        fence.seen = id.attempt();
    }

    /** Refuses this attempt and all older ones from now on. */
    void stop(String job, int attempt) {
        Fence fence = fence(job);
        fence.stopped = Math.max(fence.stopped, attempt);
        fence.seen = Math.max(fence.seen, attempt);
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

    private static PollenreachException stale(AttemptId id, String why) {
        return new PollenreachException(ResultCode.STALE_ATTEMPT, id.job() + " attempt " + id.attempt() + ": " + why);
    }
}
