package io.pollenreach.daemon.internal.agent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Outcome;

/**
 * Remembers what became of requests.
 *
 * <p>Invariants: bodies together take at most {@link #MAX_BODY_BYTES}; when they are dropped, a request that may not run
 * twice stays known until {@link #RETENTION_MS} have passed. Not safe for use by many threads; {@link RunnerGuard}
 * guards it.
 */
final class AnswerStore {
    static final long RETENTION_MS = 600_000;
    static final int MAX_BODY_BYTES = 8 << 20;

    private final Clock clock;
    private final Map<RequestKey, Kept> kept = new HashMap<>();
    private final Deque<Kept> byAge = new ArrayDeque<>();
    private final Deque<Kept> bodies = new ArrayDeque<>();
    private long bodyBytes;

    private static final class Kept {
        private final RequestKey key;
        private final boolean idempotent;
        private final long atMs;
        private Executed answer;

        private Kept(RequestKey key, boolean idempotent, long atMs, Executed answer) {
            this.key = key;
            this.idempotent = idempotent;
            this.atMs = atMs;
            this.answer = answer;
        }
    }

    AnswerStore(Clock clock) {
        this.clock = clock;
    }

    /** Remembers an answer in place of an earlier one. */
    void put(RequestKey key, boolean idempotent, Executed answer) {
        dropExpired();
        remove(kept.get(key));
        Kept entry = new Kept(key, idempotent, clock.nowMs(), answer);
        kept.put(key, entry);
        byAge.addLast(entry);
        if (answer.body().length > 0) {
            bodies.addLast(entry);
            bodyBytes += answer.body().length;
        }
        dropBodies();
    }

    /** Returns what became of a request, unless it was never known or has been forgotten. */
    Optional<Executed> get(RequestKey key) {
        dropExpired();
        return Optional.ofNullable(kept.get(key)).map(k -> k.answer);
    }

    private void dropExpired() {
        long oldestMs = clock.nowMs() - RETENTION_MS;
        while (!byAge.isEmpty() && byAge.peekFirst().atMs < oldestMs) {
            remove(byAge.removeFirst());
        }
    }

    private void remove(Kept entry) {
        if (entry == null || !kept.remove(entry.key, entry)) {
            return;
        }
        if (entry.answer.body().length > 0) {
            bodies.remove(entry);
            bodyBytes -= entry.answer.body().length;
        }
    }

    private void dropBodies() {
        while (bodyBytes > MAX_BODY_BYTES) {
            Kept oldest = bodies.removeFirst();
            bodyBytes -= oldest.answer.body().length;
            if (oldest.idempotent) {
                kept.remove(oldest.key, oldest);
                continue;
            }
            Executed a = oldest.answer;
            oldest.answer = new Executed(
                    a.requestId(),
                    a.workspace(),
                    Outcome.UNKNOWN,
                    0,
                    "",
                    new byte[0],
                    "it was answered with status " + a.status() + ", but the answer is no longer kept");
        }
    }
}
