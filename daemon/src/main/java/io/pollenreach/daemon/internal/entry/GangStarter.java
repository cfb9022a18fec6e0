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
import io.pollenreach.daemon.internal.entry.Gangs.PartResult;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.jobs.StopReason;
import io.pollenreach.internal.placement.Decision.Place;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/**
 * Carries out one placement: reserve, commit, prepare, let run.
 *
 * <p>Invariants: nothing is prepared before the row says STARTING with this attempt and nonce, and nothing is released
 * before the row says RUNNING. Whatever fails on the way gives the reservations back or leaves the row for supervision to
 * stop. Safe for use by many threads; it holds no lock.
 */
final class GangStarter {
    private static final Events EVENTS = Events.of(GangStarter.class);

    private final Blackboard board;
    private final JobStore store;
    private final Gangs gangs;
    private final WorkerExclusions avoidance;
    private final Clock clock;

    GangStarter(Blackboard board, JobStore store, Gangs gangs, WorkerExclusions avoidance, Clock clock) {
        this.board = board;
        this.store = store;
        this.gangs = gangs;
        this.avoidance = avoidance;
        this.clock = clock;
    }

    /** Starts a waiting job; the future completes when there is nothing more to do for this placement. */
    CompletableFuture<Void> start(JobRow row, Place place) {
        AttemptId id = new AttemptId(
                row.key(), row.record().attempt() + 1, UUID.randomUUID().toString());
        Map<String, List<AttemptId>> victims = victimsByWorker(place);
        return reclaimAll(place.victims()).thenCompose(reclaimed -> {
            // Borrowers are stopped only for a start that the platform can record.
            return reclaimed ? reserve(row, place, id, victims) : CompletableFuture.completedFuture(null);
        });
    }

    private CompletableFuture<Void> reserve(
            JobRow row, Place place, AttemptId id, Map<String, List<AttemptId>> victims) {
        return gangs.reserve(id, place.parts(), victims).thenCompose(results -> {
            if (!allOk(results)) {
                noteFailures("reserve", id, results);
                // Not waited for: an agent that did not answer would keep the job from being placed elsewhere.
                giveBack(id, parts(results, false));
                return giveBack(id, parts(results, true));
            }
            return commit(row, place, id);
        });
    }

    private CompletableFuture<Boolean> reclaimAll(List<AttemptId> victims) {
        List<CompletableFuture<Boolean>> rows =
                victims.stream().map(this::reclaim).toList();
        return CompletableFuture.allOf(rows.toArray(CompletableFuture[]::new))
                .thenApply(v -> rows.stream().allMatch(CompletableFuture::join));
    }

    private CompletableFuture<Boolean> reclaim(AttemptId victim) {
        JobRow row = board.jobs().get(victim.job()).orElse(null);
        if (row == null || !row.record().attemptId().equals(victim)) {
            return CompletableFuture.completedFuture(false);
        }
        return store.update(row, j -> j.stop(StopReason.RECLAIM, "reclaimed for guaranteed work"))
                .handle((v, t) -> {
                    EVENTS.info("reclaim", "job", victim.job(), "attempt", victim.attempt(), "result", result(t));
                    return t == null;
                });
    }

    private Map<String, List<AttemptId>> victimsByWorker(Place place) {
        Map<String, List<AttemptId>> map = new HashMap<>();
        for (AttemptId v : place.victims()) {
            board.jobs().get(v.job()).ifPresent(r -> r.record().parts().stream()
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
                                "start-not-committed", "job", id.job(), "attempt", id.attempt(), "result", result(t));
                        return giveBack(id, place.parts());
                    }
                    return prepare(placed);
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Void> prepare(JobRow placed) {
        return gangs.prepare(placed.record()).thenCompose(results -> {
            if (!allOk(results)) {
                noteFailures("prepare", placed.record().attemptId(), results);
                return giveUp(placed);
            }
            return run(placed);
        });
    }

    private CompletableFuture<Void> giveUp(JobRow placed) {
        return store.update(placed, j -> j.stop(StopReason.NOT_STARTED, "a part could not be prepared"))
                .handle((r, t) -> null);
    }

    private CompletableFuture<Void> run(JobRow placed) {
        long wall = clock.wallMs();
        return store.update(placed, j -> j.run(wall))
                .handle((running, t) -> {
                    if (t != null) {
                        EVENTS.warn("run-not-committed", "job", placed.key(), "result", result(t));
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return release(running);
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Void> release(JobRow running) {
        AttemptId id = running.record().attemptId();
        return gangs.release(id, running.record().parts()).thenAccept(results -> {
            // A part that was not reached is released again by supervision, or the gang stops.
            noteFailures("release", id, results);
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

    private CompletableFuture<Void> giveBack(AttemptId id, List<Part> parts) {
        return gangs.unreserve(id, parts).thenApply(r -> null);
    }

    private void noteFailures(String step, AttemptId id, List<PartResult> results) {
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

    private static Object result(Throwable t) {
        return t == null
                ? ResultCode.OK.number()
                : PollenreachException.of(t).code().number();
    }
}
