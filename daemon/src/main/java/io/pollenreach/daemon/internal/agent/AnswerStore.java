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
 * Remembers what became of requests, by incarnations.
 *
 * <p>A claim names the incarnation at which it was made. Forgetting therefore starts a new incarnation, and requests of
 * one that has been forgotten are told from new ones.
 *
 * <p>Invariants: every request that came under an incarnation that is held is remembered; two incarnations are held at
 * most, each begun {@link #RETENTION_MS} or {@link #MAX_PER_INCARNATION} requests after the last; bodies together take
 * at most {@link #MAX_BODY_BYTES}. Not safe for use by many threads; {@link RunnerGuard} guards it.
 */
final class AnswerStore {
    static final long RETENTION_MS = 600_000;
    static final int MAX_PER_INCARNATION = 25_000;
    static final int MAX_BODY_BYTES = 8 << 20;
    static final byte[] NO_BODY = new byte[0];

    private final Clock clock;
    private final Map<RequestKey, Kept> kept = new HashMap<>();
    private final Deque<Kept> byAge = new ArrayDeque<>();
    private final Deque<Kept> bodies = new ArrayDeque<>();
    private long bodyBytes;
    private long current;
    private long previous;
    private long begunMs;
    private int puts;

    private static final class Kept {
        private final RequestKey key;
        private final boolean idempotent;
        private final long incarnation;
        private Executed answer;

        private Kept(RequestKey key, boolean idempotent, long incarnation, Executed answer) {
            this.key = key;
            this.idempotent = idempotent;
            this.incarnation = incarnation;
            this.answer = answer;
        }
    }

    AnswerStore(Clock clock) {
        this.clock = clock;
        current = Math.max(1, clock.wallMs());
        previous = current;
        begunMs = clock.nowMs();
    }

    /** Returns the incarnation to announce. */
    long incarnation() {
        beginWhenDue();
        return current;
    }

    /** Tells whether every request of an incarnation is remembered; 0 stands for any. */
    boolean remembers(long incarnation) {
        beginWhenDue();
        return incarnation == 0 || incarnation == current || incarnation == previous;
    }

    /** Remembers an answer in place of an earlier one. */
    void put(RequestKey key, boolean idempotent, Executed answer) {
        beginWhenDue();
        remove(kept.get(key));
        Kept entry = new Kept(key, idempotent, current, answer);
        kept.put(key, entry);
        byAge.addLast(entry);
        puts++;
        if (answer.body().length > 0) {
            bodies.addLast(entry);
            bodyBytes += answer.body().length;
        }
        dropBodies();
    }

    /** Returns what became of a request, unless it was never known or has been forgotten. */
    Optional<Executed> get(RequestKey key) {
        beginWhenDue();
        return Optional.ofNullable(kept.get(key)).map(k -> k.answer);
    }

    private void beginWhenDue() {
        if (clock.nowMs() - begunMs < RETENTION_MS && puts < MAX_PER_INCARNATION) {
            return;
        }
        previous = current;
        current = Math.max(current + 1, clock.wallMs());
        begunMs = clock.nowMs();
        puts = 0;
        while (!byAge.isEmpty() && byAge.peekFirst().incarnation < previous) {
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
            String detail = "it was answered with status " + a.status() + ", but the answer is no longer kept";
            oldest.answer = new Executed(a.requestId(), a.workspace(), Outcome.UNKNOWN, 0, "", NO_BODY, detail);
        }
    }
}
