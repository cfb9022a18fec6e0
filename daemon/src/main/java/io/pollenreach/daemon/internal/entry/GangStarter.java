package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.GangClient.PartResult;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.StopReason;
import io.pollenreach.internal.placement.Decision.Place;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * Starts a placed job: reserves its parts, commits the placement, prepares the parts and releases them.
 *
 * <p>Invariants: no part is prepared before the stored row is STARTING with this attempt and nonce, and none is
 * released before the row is RUNNING. A failed start releases its reservations or leaves the row for the
 * {@link Supervisor} to stop. Safe for use by many threads; it holds no lock.
 */
final class GangStarter {
    private static final Events EVENTS = Events.of(GangStarter.class);

    private final Blackboard blackboard;
    private final JobStore store;
    private final GangClient gangs;
    private final WorkerExclusions avoidance;
    private final Clock clock;

    GangStarter(Blackboard blackboard, JobStore store, GangClient gangs, WorkerExclusions avoidance, Clock clock) {
        this.blackboard = blackboard;
        this.store = store;
        this.gangs = gangs;
        this.avoidance = avoidance;
        this.clock = clock;
    }

    /** Starts a waiting job; the future completes once the gang is released or the start has failed. */
    CompletableFuture<Void> start(JobRow row, Place place) {
        AttemptId id = new AttemptId(
                row.key(), row.record().attempt() + 1, UUID.randomUUID().toString());
        Map<String, List<AttemptId>> victims = victimsByWorker(place);
        return reclaimAll(place.victims()).thenCompose(reclaimed -> {
            // Agents stop borrowers only after the platform has recorded the reclaim of each of them.
            return reclaimed ? reserve(row, place, id, victims) : CompletableFuture.completedFuture(null);
        });
    }

    private CompletableFuture<Void> reserve(
            JobRow row, Place place, AttemptId id, Map<String, List<AttemptId>> victims) {
        return gangs.reserve(id, place.parts(), victims).thenCompose(results -> {
            if (!allOk(results)) {
                recordFailures("reserve", id, results);
                // Not waited for: an agent that did not respond would delay placing the job elsewhere.
                unreserve(id, parts(results, false));
                return unreserve(id, parts(results, true));
            }
            return commit(row, place, id);
        });
    }

    private CompletableFuture<Boolean> reclaimAll(List<AttemptId> victims) {
        List<CompletableFuture<Boolean>> reclaims =
                victims.stream().map(this::reclaim).toList();
        return CompletableFuture.allOf(reclaims.toArray(CompletableFuture[]::new))
                .thenApply(v -> reclaims.stream().allMatch(CompletableFuture::join));
    }

    private CompletableFuture<Boolean> reclaim(AttemptId victim) {
        JobRow row = blackboard.jobs().get(victim.job()).orElse(null);
        if (row == null || !row.record().attemptId().equals(victim)) {
            return CompletableFuture.completedFuture(false);
        }
        return store.update(row, j -> j.stop(StopReason.RECLAIM, "reclaimed for guaranteed work"))
                .handle((v, t) -> {
                    EVENTS.info("reclaim", "job", victim.job(), "attempt", victim.attempt(), "result", resultCode(t));
                    return t == null;
                });
    }

    private Map<String, List<AttemptId>> victimsByWorker(Place place) {
        Map<String, List<AttemptId>> map = new HashMap<>();
        for (AttemptId v : place.victims()) {
            blackboard.jobs().get(v.job()).ifPresent(r -> r.record().parts().stream()
                    .map(Part::worker)
                    .distinct()
                    .forEach(w -> map.computeIfAbsent(w, k -> new ArrayList<>()).add(v)));
        }
        return map;
    }

    private CompletableFuture<Void> commit(JobRow row, Place place, AttemptId id) {
        return store.update(row, j -> j.place(id, place.parts(), place.borrowed(), place.reason()))
                .handle((placed, t) -> {
                    if (t != null) {
                        EVENTS.warn(
                                "start-not-committed",
                                "job",
                                id.job(),
                                "attempt",
                                id.attempt(),
                                "result",
                                resultCode(t));
                        return unreserve(id, place.parts());
                    }
                    return prepare(placed);
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Void> prepare(JobRow placed) {
        return gangs.prepare(placed.record()).thenCompose(results -> {
            if (!allOk(results)) {
                recordFailures("prepare", placed.record().attemptId(), results);
                return abandonStart(placed);
            }
            return run(placed);
        });
    }

    private CompletableFuture<Void> abandonStart(JobRow placed) {
        return store.update(placed, j -> j.stop(StopReason.NOT_STARTED, "a part could not be prepared"))
                .handle((r, t) -> null);
    }

    private CompletableFuture<Void> run(JobRow placed) {
        long wallMs = clock.wallMs();
        return store.update(placed, j -> j.run(wallMs))
                .handle((running, t) -> {
                    if (t != null) {
                        EVENTS.warn("run-not-committed", "job", placed.key(), "result", resultCode(t));
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return release(running);
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Void> release(JobRow running) {
        AttemptId id = running.record().attemptId();
        return gangs.release(id, running.record().parts()).thenAccept(results -> {
            // If a part was not reached, the Supervisor releases it again, or the gang stops.
            recordFailures("release", id, results);
            EVENTS.info(
                    "job-running",
                    "job",
                    id.job(),
                    "attempt",
                    id.attempt(),
                    "waitedMs",
                    running.record().startedAtMs() - running.record().waitingSinceMs());
        });
    }

    private static List<Part> parts(List<PartResult> results, boolean ok) {
        return results.stream().filter(r -> r.ok() == ok).map(PartResult::part).toList();
    }

    private CompletableFuture<Void> unreserve(AttemptId id, List<Part> parts) {
        return gangs.unreserve(id, parts).thenApply(r -> null);
    }

    private void recordFailures(String step, AttemptId id, List<PartResult> results) {
        for (PartResult r : results) {
            if (r.ok()) {
                continue;
            }
            ResultCode code = r.failure().code();
            avoidance.exclude(r.part().worker(), code);
            EVENTS.warn(
                    step + "-failed",
                    "job",
                    id.job(),
                    "attempt",
                    id.attempt(),
                    "rank",
                    r.part().rank(),
                    "worker",
                    r.part().worker(),
                    "code",
                    code.number(),
                    "detail",
                    r.failure().getMessage());
        }
    }

    private static boolean allOk(List<PartResult> results) {
        return results.stream().allMatch(PartResult::ok);
    }

    private static Object resultCode(Throwable t) {
        return t == null
                ? ResultCode.OK.number()
                : PollenreachException.of(t).code().number();
    }
}
