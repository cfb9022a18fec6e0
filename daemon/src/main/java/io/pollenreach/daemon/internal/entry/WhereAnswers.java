package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Clock;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.placement.Decision;
import io.pollenreach.internal.placement.PlacementPreview;
import io.pollenreach.internal.placement.WorkerVerdict;
import io.pollenreach.internal.preview.Shortlist;
import io.pollenreach.internal.routing.RoutePreview;
import io.pollenreach.internal.routing.RunnerVerdict;
import io.pollenreach.internal.routing.RunnerView;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;

/**
 * Builds the answers about where a job or request would go now.
 *
 * <p>Invariants: an answer names at most {@link #MAX_CANDIDATES} workers or runners, and counts all by their verdicts;
 * one for a caller who is no operator names no job of another workspace, and no worker or runner but the chosen ones.
 * Safe for use by many threads; it keeps no state.
 */
final class WhereAnswers {
    /** How many workers or runners an answer names. */
    static final int MAX_CANDIDATES = 20;

    private final Blackboard board;
    private final JobController jobs;
    private final RequestController requests;
    private final Clock clock;

    /** What would become of a job or request. Immutable. */
    enum Outcome {
        /** The job is started on the named workers. */
        PLACE,
        /** The request is sent to the named runner. */
        SEND,
        /** It waits. */
        WAIT,
        /** It is refused with the named code. */
        REFUSE,
        /** The job is known and does not wait any more, so nothing is decided about it. */
        KNOWN
    }

    WhereAnswers(Blackboard board, JobController jobs, RequestController requests, Clock clock) {
        this.board = board;
        this.jobs = jobs;
        this.requests = requests;
        this.clock = clock;
    }

    /** Tells what would become of a job if it were submitted now, or becomes of it if it waits already. */
    ObjectNode job(JobSpec spec, boolean operator) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("job", spec.key());
        Optional<JobRow> row = board.jobs().get(spec.key());
        if (row.filter(r -> !r.record().spec().equals(spec)).isPresent()) {
            refuse(node, ResultCode.EXISTS, "job " + spec.key() + " exists with a different specification");
        } else if (row.filter(this::isDecided).isPresent()) {
            JobState state = row.get().record().state();
            outcome(
                    node,
                    Outcome.KNOWN,
                    ResultCode.OK,
                    "the job is " + state + "; submitting it again changes nothing");
        } else {
            decideJob(node, spec, row, operator);
        }
        addBasis(node, TargetKind.WORKER, "");
        return node;
    }

    private boolean isDecided(JobRow row) {
        return row.record().state() != JobState.WAITING || jobs.isStarting(row.key());
    }

    private void decideJob(ObjectNode node, JobSpec spec, Optional<JobRow> row, boolean operator) {
        try {
            JobApi.checkQuota(board.config().get(), spec);
        } catch (PollenreachException e) {
            refuse(node, e.code(), e.getMessage());
            return;
        }
        PlacementPreview preview = jobs.preview(spec);
        Decision d = preview.decision();
        if (d instanceof Decision.Place) {
            outcome(node, Outcome.PLACE, ResultCode.OK, d.reason());
            addPlacement(node, (Decision.Place) d, spec.workspace(), operator);
        } else if (d instanceof Decision.Refuse) {
            ResultCode code = ((Decision.Refuse) d).code();
            refuse(node, code, d.reason());
            node.put("refusedInMs", jobs.refusalDelayMs(code, row));
        } else {
            outcome(node, Outcome.WAIT, ResultCode.OK, d.reason());
        }
        node.put("startingAhead", preview.startingAhead());
        node.put("waitingAhead", preview.waitingAhead());
        List<PlacementPreview.Worker> workers = new ArrayList<>(preview.workers());
        silent(TargetKind.WORKER, "").forEach(t -> workers.add(silentWorker(t)));
        Shortlist<PlacementPreview.Worker, WorkerVerdict> list =
                Shortlist.of(workers, WorkerVerdict.class, PlacementPreview.Worker::verdict, MAX_CANDIDATES);
        ArrayNode candidates = addCandidates(node, list.counts());
        if (operator) {
            list.first().forEach(w -> candidates.add(worker(w)));
        }
    }

    private static void addPlacement(ObjectNode node, Decision.Place place, String workspace, boolean operator) {
        Map<String, Integer> partsByWorker = new TreeMap<>();
        place.parts().forEach(p -> partsByWorker.merge(p.worker(), 1, Integer::sum));
        ArrayNode workers = node.putArray("workers");
        partsByWorker.forEach(
                (worker, parts) -> workers.addObject().put("worker", worker).put("parts", parts));
        node.put("borrowed", place.borrowed());
        node.put("stopping", place.victims().size());
        ArrayNode stopped = node.putArray("stoppedJobs");
        place.victims().stream()
                .map(AttemptId::job)
                .filter(job -> operator || job.startsWith(workspace + "/"))
                .limit(MAX_CANDIDATES)
                .forEach(stopped::add);
    }

    private ObjectNode worker(PlacementPreview.Worker w) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("worker", w.id());
        node.put("zone", w.zone());
        node.put("rack", w.rack());
        node.put("accelerators", w.accelerators());
        node.put("free", w.free());
        addVerdict(node, w.id(), w.verdict(), w.verdict().sentence());
        return node;
    }

    private static PlacementPreview.Worker silentWorker(TargetInfo t) {
        return new PlacementPreview.Worker(t.id(), t.zone(), t.rack(), t.accelerators(), 0, WorkerVerdict.SILENT);
    }

    /** Tells what would become of a request if it came to this entry now. */
    ObjectNode request(String workspace, String service, String path, boolean operator) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("workspace", workspace);
        node.put("service", service);
        RoutePreview preview = requests.preview(workspace, service, path);
        if (!preview.accepted()) {
            refuse(node, ResultCode.OVERLOADED, preview.reason());
        } else if (preview.runner().isPresent()) {
            outcome(node, Outcome.SEND, ResultCode.OK, preview.reason());
            node.put("runner", preview.runner().get());
        } else {
            outcome(node, Outcome.WAIT, ResultCode.OK, preview.reason());
            node.put("ahead", preview.ahead());
            node.put("aheadOfOwn", preview.aheadOfOwn());
        }
        List<RoutePreview.Runner> runners = new ArrayList<>(preview.runners());
        drainingThemselves(service).forEach(t -> runners.add(closedRunner(t, RunnerVerdict.DRAINING)));
        silent(TargetKind.RUNNER, service).forEach(t -> runners.add(closedRunner(t, RunnerVerdict.SILENT)));
        Shortlist<RoutePreview.Runner, RunnerVerdict> list =
                Shortlist.of(runners, RunnerVerdict.class, RoutePreview.Runner::verdict, MAX_CANDIDATES);
        ArrayNode candidates = addCandidates(node, list.counts());
        if (operator) {
            list.first().forEach(r -> candidates.add(runner(r)));
        }
        addBasis(node, TargetKind.RUNNER, service);
        return node;
    }

    private ObjectNode runner(RoutePreview.Runner r) {
        ObjectNode node = Json.lenient().createObjectNode();
        node.put("runner", r.view().id());
        node.put("zone", r.view().zone());
        node.put("slots", r.view().slots());
        node.put("inUse", r.view().inUse());
        node.put("queued", r.view().queued());
        node.put("failures", r.view().recentFailures());
        addVerdict(node, r.view().id(), r.verdict(), r.verdict().sentence());
        return node;
    }

    private static RoutePreview.Runner closedRunner(TargetInfo t, RunnerVerdict why) {
        RunnerView view = new RunnerView(
                t.id(),
                t.zone(),
                t.address(),
                t.slots(),
                t.load().inUse(),
                t.load().queued(),
                0,
                t.load().meanServiceMs(),
                t.load().recentFailures(),
                false);
        return new RoutePreview.Runner(view, why);
    }

    private List<TargetInfo> drainingThemselves(String service) {
        return board.targets().live(clock.nowMs()).stream()
                .filter(t -> isOf(t, TargetKind.RUNNER, service) && t.draining())
                .toList();
    }

    private List<TargetInfo> silent(TargetKind kind, String service) {
        return board.targets().silent(clock.nowMs()).stream()
                .filter(t -> isOf(t, kind, service))
                .toList();
    }

    private static boolean isOf(TargetInfo t, TargetKind kind, String service) {
        return t.kind() == kind && Objects.requireNonNullElse(t.service(), "").equals(service);
    }

    private static void refuse(ObjectNode node, ResultCode code, String reason) {
        outcome(node, Outcome.REFUSE, code, reason);
    }

    private static void outcome(ObjectNode node, Outcome outcome, ResultCode code, String reason) {
        node.put("decision", outcome.name());
        node.put("code", code.number());
        node.put("reason", reason);
    }

    private void addVerdict(ObjectNode node, String target, Enum<?> verdict, String sentence) {
        node.put("verdict", verdict.name());
        node.put("why", sentence);
        board.targets().heardMs(target).ifPresent(ms -> node.put("heardMsAgo", clock.nowMs() - ms));
    }

    private static ArrayNode addCandidates(ObjectNode node, Map<? extends Enum<?>, Integer> counts) {
        ObjectNode byVerdict = node.putObject("counts");
        counts.entrySet().stream()
                .sorted((a, b) ->
                        Integer.compare(a.getKey().ordinal(), b.getKey().ordinal()))
                .forEach(e -> byVerdict.put(e.getKey().name(), e.getValue()));
        return node.putArray("candidates");
    }

    /** Adds the age of what the answer rests on. */
    private void addBasis(ObjectNode node, TargetKind kind, String service) {
        long nowMs = clock.nowMs();
        ObjectNode basis = node.putObject("basis");
        basis.put("entry", board.entries().selfAddress());
        basis.put("planner", board.entries().planner(nowMs));
        basis.put("plansHere", board.entries().plansHere(nowMs));
        basis.put("configVersion", board.config().get().version());
        basis.put("jobsReadMsAgo", jobs.pollAgeMs());
        List<TargetInfo> live = board.targets().live(nowMs).stream()
                .filter(t -> isOf(t, kind, service))
                .toList();
        basis.put("liveTargets", live.size());
        live.stream()
                .flatMap(t -> board.targets().heardMs(t.id()).stream())
                .mapToLong(ms -> nowMs - ms)
                .max()
                .ifPresent(ms -> basis.put("oldestHeartbeatMsAgo", ms));
    }
}
