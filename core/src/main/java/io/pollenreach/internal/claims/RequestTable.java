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
 *   <li>A key is never both started and buried: {@link #admit} and {@link #recordTombstone} of one key exclude each other.
 *   <li>{@link #recordTombstone} answers true only when this entry has not started the key, as far back as
 *       {@link #TOMBSTONE_TTL_MS}, and refuses to start it for as long from now.
 *   <li>At the bound nothing is forgotten early. A table with no room for another tombstone answers false to
 *       {@link #recordTombstone}; one that was made to adopt more than its bound refuses new keys as {@link Admission#FULL} until
 *       enough have expired; one that has to drop the memory of a finished request answers false to every burial of
 *       an unknown key until that memory would have expired.
 * </ul>
 *
 * <p>Safe for use by many threads. Keys are spread over stripes, each with its own lock. Lock order: a thread holds at
 * most one stripe's lock and takes no other lock while it holds it.
 *
 * <pre>{@code
 * if (requests.admit(key) == Admission.STARTED) {
 *     send(request).whenComplete((answer, failure) -> requests.finish(key));
 * }
 * }</pre>
 */
public final class RequestTable {
    /** How long a tombstone, and the memory of a finished request, is kept. */
    public static final long TOMBSTONE_TTL_MS = 600_000;

    private static final int STRIPES = 64;
    private static final int TOMBSTONES_PER_STRIPE = 2_048;
    private static final int FINISHED_PER_STRIPE = 8_192;

    private final Clock clock;
    private final RequestStripe[] stripes;

    /** Creates an empty table that tells time by the clock. */
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
     * Asks to start a request.
     *
     * @param key the request's key
     * @return {@link Admission#STARTED} when the caller, and nobody else, may send the request on; it then owes one
     *     {@link #finish} or {@link #finishUnsent}
     */
    public Admission admit(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.admit(key, clock.nowMs());
        }
    }

    /**
     * Asks never to start a request.
     *
     * @param key the request's key
     * @return true when it has not started here and now never will; false when it has, or when that is not known
     */
    public boolean recordTombstone(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.recordTombstone(key, clock.nowMs());
        }
    }

    /** Notes that a started request runs no longer; does nothing for other keys. */
    public void finish(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            stripe.finish(key, clock.nowMs());
        }
    }

    /**
     * Ends a started request of which surely no target saw a byte, and buries it.
     *
     * @param key the request's key
     * @return true when it is buried; false when an earlier copy ran here or the key is not started, in which case the
     *     request counts as finished
     */
    public boolean finishUnsent(String key) {
        RequestStripe stripe = stripeOf(key);
        synchronized (stripe) {
            return stripe.retract(key, clock.nowMs());
        }
    }

    /**
     * Lists the keys that are buried, each as of some moment during the call.
     *
     * <p>A key that is buried before the call and does not expire during it is always listed.
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
     * Takes over the tombstones of a peer, beyond the bound when necessary.
     *
     * @param keys the peer's {@link #tombstones()}
     * @return the keys that this entry has started already, so that it cannot bury them
     */
    public List<String> addPeerTombstones(Collection<String> keys) {
        List<String> started = new ArrayList<>();
        for (String key : keys) {
            if (!addPeerTombstones(key)) {
                started.add(key);
            }
        }
        return started;
    }

    private boolean addPeerTombstones(String key) {
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
