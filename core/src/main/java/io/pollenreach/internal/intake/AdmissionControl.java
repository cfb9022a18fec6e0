package io.pollenreach.internal.intake;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.intake.AdmissionVerdict.Reason;

/**
 * Decides at one entry whether jobs are admitted, and remembers what it decided.
 *
 * <p>Invariants: an id that this entry admitted is not refused later, since its write may still take effect; the ids that
 * are remembered are bounded, and one that is forgotten counts as new;
 * nothing here outlives the process, so that another entry decides by the same published figures. Thread-safe.
 */
public final class AdmissionControl {
    /** Ids that are remembered of either kind, the newest ones. */
    private static final int MAX_IDS = 4_096;

    private static final int MAX_QUEUES = 1_024;

    private final PublishedBacklog published;
    private final Supplier<Map<String, Integer>> guarantees;

    /** The longest chain of the jobs of each queue on average. */
    private final Cache<String, UsualChain> usualChains =
            CacheBuilder.newBuilder().maximumSize(MAX_QUEUES).build();

    /** When each id that was refused lately was refused first, by a monotonic clock, in milliseconds. */
    private final Cache<String, Long> refusedMsById =
            CacheBuilder.newBuilder().maximumSize(MAX_IDS).build();

    /** The ids that were admitted lately, with the time of it; their writes may still take effect. */
    private final Cache<String, Long> admittedMsById =
            CacheBuilder.newBuilder().maximumSize(MAX_IDS).build();

    /** A verdict and the age of the figures that it rests on, in milliseconds. Immutable. */
    public record Decision(AdmissionVerdict verdict, long backlogAgeMs) {}

    /**
     * Creates a control.
     *
     * @param published the backlog that the leader publishes
     * @param guarantees supplies the accelerators that each workspace is currently guaranteed
     */
    public AdmissionControl(PublishedBacklog published, Supplier<Map<String, Integer>> guarantees) {
        this.published = published;
        this.guarantees = guarantees;
    }

    /** Decides on a job at a time by a monotonic clock; an admitted job counts as backlog from now on. */
    public synchronized Decision decide(BatchJob job, long nowMs) {
        Optional<PublishedBacklog.Known> known = published.known(nowMs);
        AdmissionVerdict verdict = verdict(job, known, nowMs);
        if (verdict.isRefusal()) {
            refusedMsById.asMap().putIfAbsent(job.id(), nowMs);
        } else {
            admittedMsById.put(job.id(), nowMs);
            published.addAdmitted(job);
        }
        return new Decision(verdict, known.map(PublishedBacklog.Known::ageMs).orElse(0L));
    }

    private AdmissionVerdict verdict(BatchJob job, Optional<PublishedBacklog.Known> known, long nowMs) {
        if (admittedMsById.getIfPresent(job.id()) != null) {
            return AdmissionVerdict.of(Reason.ADMITTED_BEFORE);
        }
        if (known.isEmpty()) {
            return AdmissionVerdict.of(Reason.UNKNOWN_BACKLOG);
        }
        UsualChain usual = usualChains.asMap().computeIfAbsent(job.queue(), q -> new UsualChain());
        known.get().backlog().pool(job.pool()).ifPresent(p -> usual.add(AdmissionPolicy.chainMs(job, p.capacity())));
        Long refusedMs = refusedMsById.getIfPresent(job.id());
        long ageMs = refusedMs == null ? 0 : nowMs - refusedMs;
        AdmissionPolicy.Circumstances at = new AdmissionPolicy.Circumstances(
                known.get().backlog(), guarantees.get(), ageMs, usual.ms(), refusedMs != null);
        return AdmissionPolicy.decide(job, at);
    }
}
