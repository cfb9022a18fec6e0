package io.pollenreach.internal.wire;

import java.util.Objects;

/**
 * What a target announces about itself.
 *
 * <p>Immutable. Two announcements of one target are ordered by incarnation, then sequence.
 *
 * <p>One without id, kind or address cannot be made; a load that is absent is {@link Load#NONE}.
 *
 * @param id the target's name from its settings
 * @param incarnation grows with each start of the agent
 * @param sequence grows with each announcement of one incarnation
 * @param kind worker or runner
 * @param service the service that a runner serves; empty for a worker
 * @param zone the availability zone
 * @param rack the rack within the zone
 * @param address where the agent listens, as {@code ip:port}
 * @param accelerators how many accelerators a worker has
 * @param slots how many requests a runner serves at once
 * @param load the target's use at the time of the announcement
 * @param draining whether the target takes no new work
 */
public record TargetInfo(
        String id,
        long incarnation,
        long sequence,
        TargetKind kind,
        String service,
        String zone,
        String rack,
        String address,
        int accelerators,
        int slots,
        Load load,
        boolean draining) {
    public TargetInfo {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        load = load == null ? Load.NONE : load;
    }

    /** Tells whether this announcement says more than that the target still lives. */
    public boolean differsFrom(TargetInfo other) {
        return !new TargetInfo(
                        id,
                        incarnation,
                        other.sequence,
                        kind,
                        service,
                        zone,
                        rack,
                        address,
                        accelerators,
                        slots,
                        load,
                        draining)
                .equals(other);
    }

    /** Tells whether this announcement is newer than another of the same target. */
    public boolean newerThan(TargetInfo other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
