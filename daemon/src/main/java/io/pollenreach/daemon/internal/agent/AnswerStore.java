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
 * Remembers the outcomes of requests, grouped by the runner's incarnation at which they were received.
 *
 * <p>Each request names the incarnation at which an entry assigned it to the runner. Forgetting outcomes starts a new
 * incarnation, so a late copy of a request whose outcome was forgotten can be told from a new request.
 *
 * <p>Invariants: every request that ended in a remembered incarnation is remembered, except idempotent ones whose body
 * was evicted; at most two incarnations are remembered, each begun {@link #RETENTION_MS} or
 * {@link #MAX_PER_INCARNATION} requests after the one before; bodies together take at most {@link #MAX_BODY_BYTES}. Not
 * safe for use by many threads; callers hold the lock of {@link RunnerGuard}.
 */
final class AnswerStore {
    static final long RETENTION_MS = 600_000;
    static final int MAX_PER_INCARNATION = 25_000;
    static final int MAX_BODY_BYTES = 8 << 20;
    static final byte[] NO_BODY = new byte[0];

    private final Clock clock;
    private final Map<RequestKey, Entry> entries = new HashMap<>();
    private final Deque<Entry> byAge = new ArrayDeque<>();
    private final Deque<Entry> withBody = new ArrayDeque<>();
    private long bodyBytes;
    private long current;
    private long previous;
    private long currentSinceMs;
    private int putsInCurrent;

    private static final class Entry {
        private final RequestKey key;
        private final boolean idempotent;
        private final long incarnation;
        private Executed answer;

        private Entry(RequestKey key, boolean idempotent, long incarnation, Executed answer) {
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
        currentSinceMs = clock.nowMs();
    }

    /** Returns the current incarnation. */
    long incarnation() {
        rotateWhenDue();
        return current;
    }

    /** Tells whether the requests of an incarnation are remembered; 0 stands for a request that names none. */
    boolean remembers(long incarnation) {
        rotateWhenDue();
        return incarnation == 0 || incarnation == current || incarnation == previous;
    }

    /** Remembers the outcome of a request, replacing an earlier one. */
    void put(RequestKey key, boolean idempotent, Executed answer) {
        rotateWhenDue();
        remove(entries.get(key));
        Entry added = new Entry(key, idempotent, current, answer);
        entries.put(key, added);
        byAge.addLast(added);
        putsInCurrent++;
        if (answer.body().length > 0) {
            withBody.addLast(added);
            bodyBytes += answer.body().length;
        }
        evictBodies();
    }

    /** Returns the outcome of a request, or empty if the request was never received or has been forgotten. */
    Optional<Executed> get(RequestKey key) {
        rotateWhenDue();
        return Optional.ofNullable(entries.get(key)).map(k -> k.answer);
    }

    private void rotateWhenDue() {
        if (clock.nowMs() - currentSinceMs < RETENTION_MS && putsInCurrent < MAX_PER_INCARNATION) {
            return;
        }
        previous = current;
        current = Math.max(current + 1, clock.wallMs());
        currentSinceMs = clock.nowMs();
        putsInCurrent = 0;
        while (!byAge.isEmpty() && byAge.peekFirst().incarnation < previous) {
            remove(byAge.removeFirst());
        }
    }

    private void remove(Entry entry) {
        if (entry == null || !entries.remove(entry.key, entry)) {
            return;
        }
        if (entry.answer.body().length > 0) {
            withBody.remove(entry);
            bodyBytes -= entry.answer.body().length;
        }
    }

    private void evictBodies() {
        while (bodyBytes > MAX_BODY_BYTES) {
            Entry oldest = withBody.removeFirst();
            bodyBytes -= oldest.answer.body().length;
            if (oldest.idempotent) {
                entries.remove(oldest.key, oldest);
                continue;
            }
            Executed a = oldest.answer;
            String detail =
                    "the request was answered with status " + a.status() + ", but its response body has been evicted";
            oldest.answer = new Executed(a.requestId(), a.workspace(), Outcome.UNKNOWN, 0, "", NO_BODY, detail);
        }
    }
}
