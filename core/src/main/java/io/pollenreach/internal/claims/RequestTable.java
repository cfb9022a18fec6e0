package io.pollenreach.internal.claims;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

import io.pollenreach.Clock;

/**
 * The ids of the requests that an entry has started or will never start.
 *
 * <p>Keys are {@code workspace/requestId}. Invariants:
 *
 * <ul>
 *   <li>A key is never both started and recorded as a tombstone: {@link #admit} and {@link #recordTombstone} of one key
 *       exclude each other.
 *   <li>{@link #recordTombstone} returns true only if this entry has not started the key within the last
 *       {@link #TOMBSTONE_TTL_MS}, and then refuses to start it for as long from now.
 *   <li>No guarantee is lost early when a limit is reached. A table with no free capacity for another
 *       tombstone returns false from {@link #recordTombstone}. A table that received more tombstones from peers than
 *       its limit refuses new keys as {@link Admission#FULL} until enough have expired. A table that has to drop the
 *       record of a finished request returns false from {@link #recordTombstone} for every unknown key until that
 *       record would have expired.
 * </ul>
 *
 * <p>Thread-safe. Keys are distributed over stripes, each with its own lock. Lock order: a thread holds at
 * most one stripe's lock and takes no other lock while it holds it.
 *
 * <pre>{@code
 * if (requests.admit(key) == Admission.STARTED) {
 *     send(request).whenComplete((answer, failure) -> requests.finish(key));
 * }
 * }</pre>
 */
public final class RequestTable {
    /** How long a tombstone, or the record of a finished request, is kept. */
    public static final long TOMBSTONE_TTL_MS = 600_000;

    private static final int STRIPES = 64;
    private static final int TOMBSTONES_PER_STRIPE = 2_048;
    private static final int FINISHED_PER_STRIPE = 8_192;

    private final Clock clock;
    private final RequestStripe[] stripes;

    /** Creates an empty table that reads the time from the clock. */
    public RequestTable(Clock clock) {
        this(clock, STRIPES, TOMBSTONES_PER_STRIPE, FINISHED_PER_STRIPE);
    }

    RequestTable(Clock clock, int stripes, int tombstonesPerStripe, int finishedPerStripe) {
        this.clock = clock;
        this.stripes = Stream.generate(() -> new RequestStripe(tombstonesPerStripe, finishedPerStripe))
                .limit(stripes)
                .toArray(RequestStripe[]::new);
    }

    /** Returns the key of a request. */
    public static String key(String workspace, String requestId) {
        return workspace + "/" + requestId;
    }

    /**
     * Marks a request as started if it may start.
     *
     * @param key the request's key
     * @return {@link Admission#STARTED} if the caller, and no other, may forward the request; it must then call
     *     {@link #finish} or {@link #finishUnsent} once
     */
    public Admission admit(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.admit(key, clock.nowMs());
        }
    }

    /**
     * Records a tombstone, so that the request never starts at this entry.
     *
     * @param key the request's key
     * @return true if the request has not started here and now never will; false if it has started, if that is not
     *     known, or if there is no free capacity for a tombstone
     */
    public boolean recordTombstone(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.recordTombstone(key, clock.nowMs());
        }
    }

    /** Records that a started request is no longer running; does nothing for other keys. */
    public void finish(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            stripe.finish(key, clock.nowMs());
        }
    }

    /**
     * Ends a started request and records a tombstone for it; the caller must know that no byte of it reached a target.
     *
     * @param key the request's key
     * @return true if the tombstone is recorded; false if the key is not started, or if an earlier copy ran here or
     *     there is no free capacity for a tombstone, in which two cases the request counts as finished
     */
    public boolean finishUnsent(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.finishUnsent(key, clock.nowMs());
        }
    }

    /**
     * Lists the keys with a tombstone, each as of some moment during the call.
     *
     * <p>A key whose tombstone is recorded before the call and does not expire during it is always listed.
     */
    public List<String> tombstones() {
        List<String> keys = new ArrayList<>();
        for (RequestStripe stripe : stripes) {
            synchronized (stripe) {
                stripe.addTombstonesTo(keys, clock.nowMs());
            }
        }
        return keys;
    }

    /**
     * Adds the tombstones of a peer, beyond the limit if necessary.
     *
     * @param keys the peer's {@link #tombstones()}
     * @return the keys that this entry has already started, for which it cannot record a tombstone
     */
    public List<String> addPeerTombstones(Collection<String> keys) {
        List<String> started = new ArrayList<>();
        for (String key : keys) {
            if (!addPeerTombstone(key)) {
                started.add(key);
            }
        }
        return started;
    }

    private boolean addPeerTombstone(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.addTombstone(key, clock.nowMs());
        }
    }

    private RequestStripe stripeOf(String key) {
        return stripes[Math.floorMod(key.hashCode() * 0x9E3779B9, stripes.length)];
    }

    @Override
    public String toString() {
        return "RequestTable" + Arrays.asList(stripes.length, tombstones().size());
    }
}
