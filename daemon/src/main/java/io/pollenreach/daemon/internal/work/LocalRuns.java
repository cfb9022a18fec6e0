package io.pollenreach.daemon.internal.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.pollenreach.internal.batch.EndKind;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * The runs of one incarnation of a worker: what is ordered, what the worker says, and what follows.
 *
 * <p>Invariants: a run counts as active from its order until its end was listed, it was refused for good, or a poll
 * that was sent after a confirmed stop no longer shows it; an end is reported until the scheduler has taken it. Not
 * safe for use by many threads: the agent's thread owns it.
 */
final class LocalRuns {
    /** Where an ordered run stands. Immutable. */
    private enum Status {
        NEW,
        STARTING,
        RUNNING
    }

    private static final class Run {
        private final WorkerOrders.OrderedRun order;
        private Status status = Status.NEW;
        private int attempts;
        private long retryMs;
        private int missedPolls;

        Run(WorkerOrders.OrderedRun order) {
            this.order = order;
        }
    }

    private static final class Stopping {
        /** Whether the scheduler still orders the run and must hear that it never will run. */
        private final boolean abandoned;

        private int attempts;
        private boolean sending;
        private boolean confirmed;
        private long confirmedMs;
        private long retryMs;

        Stopping(boolean abandoned) {
            this.abandoned = abandoned;
        }
    }

    /** Pause before an order that failed is sent again, in milliseconds; doubles with each further failure. */
    private static final long RETRY_MS = 150;

    private static final int MAX_DOUBLINGS = 4;

    /** Polls without a run, after its start was confirmed, that show it to be gone. */
    private static final int POLLS_TO_MISS = 2;

    private final Map<TaskRun, Run> ordered = new LinkedHashMap<>();
    private final Map<TaskRun, Stopping> stopping = new LinkedHashMap<>();
    private final Map<Long, RunEnd> ends = new TreeMap<>();
    private final Map<TaskRun, RunEnd> refusals = new LinkedHashMap<>();
    private final Set<TaskRun> over = new LinkedHashSet<>();
    private final Map<TaskRun, RunningTask> running = new HashMap<>();
    private long newestEnd;

    /** Takes over ends and refusals that an earlier process of the agent reported. */
    void restoreEnds(List<RunEnd> reported) {
        for (RunEnd e : reported) {
            over.add(e.run());
            if (e.kind() == EndKind.REFUSED) {
                refusals.put(e.run(), e);
            } else {
                ends.put(e.number(), e);
                newestEnd = Math.max(newestEnd, e.number());
            }
        }
    }

    /** Takes orders; tells whether there is something new to do or report. */
    boolean take(WorkerOrders orders) {
        boolean changed = ends.keySet().removeIf(n -> n <= orders.endsTaken());
        Set<TaskRun> wanted = new LinkedHashSet<>();
        for (WorkerOrders.OrderedRun r : orders.runs()) {
            wanted.add(r.run());
            boolean known = over.contains(r.run()) || ordered.containsKey(r.run()) || stopping.containsKey(r.run());
            if (!known) {
                ordered.put(r.run(), new Run(r));
                changed = true;
            }
        }
        for (TaskRun run : List.copyOf(ordered.keySet())) {
            if (!wanted.contains(run)) {
                ordered.remove(run);
                changed |= addStop(run);
            }
        }
        for (TaskRun run : orders.stops()) {
            if (!over.contains(run)) {
                changed |= addStop(run);
            }
        }
        refusals.keySet().removeIf(r -> !wanted.contains(r));
        over.removeIf(r -> !wanted.contains(r) && !orders.stops().contains(r) && !reported(r));
        return changed;
    }

    private boolean reported(TaskRun run) {
        return ends.values().stream().anyMatch(e -> e.run().equals(run));
    }

    private boolean addStop(TaskRun run) {
        return stopping.putIfAbsent(run, new Stopping(false)) == null;
    }

    /** Takes what the worker says; tells whether there is something to report at once. */
    boolean take(TaskRunner.WorkerStatus view, long sentMs) {
        boolean changed = false;
        for (RunEnd e : view.ends()) {
            newestEnd = Math.max(newestEnd, e.number());
            if (ends.putIfAbsent(e.number(), e) == null) {
                changed = true;
            }
            over.add(e.run());
            ordered.remove(e.run());
            stopping.remove(e.run());
        }
        running.clear();
        view.running().forEach(r -> running.put(r.run(), r));
        for (TaskRun r : running.keySet()) {
            // Nobody else may give this worker orders, so what is not ordered is left over.
            if (!ordered.containsKey(r) && !over.contains(r)) {
                changed |= addStop(r);
            }
        }
        changed |= dropFinishedStops(sentMs);
        for (Map.Entry<TaskRun, Run> r : List.copyOf(ordered.entrySet())) {
            changed |= missing(r.getKey(), r.getValue());
        }
        return changed;
    }

    private boolean dropFinishedStops(long sentMs) {
        boolean changed = false;
        for (Map.Entry<TaskRun, Stopping> s : List.copyOf(stopping.entrySet())) {
            boolean gone =
                    s.getValue().confirmed && sentMs > s.getValue().confirmedMs && !running.containsKey(s.getKey());
            if (gone) {
                stopping.remove(s.getKey());
                changed = true;
                if (s.getValue().abandoned) {
                    noteRefusal(s.getKey());
                }
            }
        }
        return changed;
    }

    private boolean missing(TaskRun id, Run run) {
        if (running.containsKey(id)) {
            run.status = Status.RUNNING;
        }
        if (run.status != Status.RUNNING || running.containsKey(id)) {
            run.missedPolls = 0;
            return false;
        }
        run.missedPolls++;
        if (run.missedPolls < POLLS_TO_MISS) {
            return false;
        }
        ordered.remove(id);
        noteRefusal(id);
        return true;
    }

    /** Returns the runs that an order to start should be sent for now, at most so many. */
    List<WorkerOrders.OrderedRun> toStart(long nowMs, int max) {
        List<WorkerOrders.OrderedRun> due = new ArrayList<>();
        for (Run r : ordered.values()) {
            if (due.size() < max && r.status == Status.NEW && r.retryMs <= nowMs) {
                r.status = Status.STARTING;
                r.attempts++;
                due.add(r.order);
            }
        }
        return due;
    }

    /** Returns the runs that an order to stop should be sent for now, at most so many. */
    List<TaskRun> toStop(long nowMs, int max) {
        List<TaskRun> due = new ArrayList<>();
        stopping.forEach((run, s) -> {
            if (due.size() < max && !s.confirmed && !s.sending && s.retryMs <= nowMs) {
                s.sending = true;
                s.attempts++;
                due.add(run);
            }
        });
        return due;
    }

    void started(TaskRun run) {
        Run r = ordered.get(run);
        if (r != null) {
            r.status = Status.RUNNING;
            r.missedPolls = 0;
        }
    }

    /** Records that an order to start failed, and puts the next one off, for longer with each failure. */
    void startFailed(TaskRun run, long nowMs) {
        Run r = ordered.get(run);
        if (r != null) {
            putOff(r, nowMs + pauseMs(r.attempts));
        }
    }

    private static void putOff(Run r, long untilMs) {
        r.status = Status.NEW;
        r.retryMs = untilMs;
    }

    private static long pauseMs(int attempts) {
        return RETRY_MS << Math.max(0, Math.min(attempts - 1, MAX_DOUBLINGS));
    }

    /** Tells whether a run is still to be started, by an order that was taken as due and is not answered. */
    boolean isStarting(TaskRun run) {
        Run r = ordered.get(run);
        return r != null && r.status == Status.STARTING;
    }

    /** Puts off a start that was taken as due and not sent. */
    void startHeld(TaskRun run, long retryMs) {
        Run r = ordered.get(run);
        if (r != null) {
            r.attempts--;
            putOff(r, retryMs);
        }
    }

    /** Gives up on starting a run; one that an earlier, unanswered order may yet start is stopped first. */
    void abandon(TaskRun run) {
        Run r = ordered.remove(run);
        if (r == null) {
            return;
        }
        if (r.attempts > 1) {
            stopping.put(run, new Stopping(true));
        } else {
            noteRefusal(run);
        }
    }

    private void noteRefusal(TaskRun run) {
        refusals.put(run, new RunEnd(0, run, EndKind.REFUSED, ""));
        over.add(run);
    }

    void stopped(TaskRun run, long nowMs) {
        Stopping s = stopping.get(run);
        if (s != null) {
            s.confirmed = true;
            s.confirmedMs = nowMs;
        }
    }

    /** Records that an order to stop failed, and puts the next one off, for longer with each failure. */
    void stopFailed(TaskRun run, long nowMs) {
        Stopping s = stopping.get(run);
        if (s != null) {
            s.sending = false;
            s.retryMs = nowMs + pauseMs(s.attempts);
        }
    }

    /** Returns everything that may be at work, or come to be. */
    List<RunningTask> active() {
        Set<TaskRun> all = new LinkedHashSet<>(ordered.keySet());
        all.addAll(stopping.keySet());
        return all.stream()
                .map(r -> running.getOrDefault(r, new RunningTask(r, "", RunningTask.UNCONFIRMED)))
                .toList();
    }

    /** Returns the runs that the worker is known to have at work. */
    List<WorkerOrders.OrderedRun> atWork() {
        return ordered.values().stream()
                .filter(r -> r.status == Status.RUNNING)
                .map(r -> r.order)
                .toList();
    }

    /** Tells whether every run of a list was ordered or is being stopped. */
    boolean accountsFor(List<RunningTask> list) {
        return list.stream().allMatch(r -> ordered.containsKey(r.run()) || stopping.containsKey(r.run()));
    }

    /** Returns the ends that the scheduler has not taken. */
    List<RunEnd> ends() {
        List<RunEnd> all = new ArrayList<>(ends.values());
        all.addAll(refusals.values());
        return all;
    }

    long newestEnd() {
        return newestEnd;
    }

    boolean idle() {
        return ordered.isEmpty() && stopping.isEmpty();
    }

    /** Tells whether an order waits to be sent, or sent again. */
    boolean waitsToSend() {
        return ordered.values().stream().anyMatch(r -> r.status == Status.NEW)
                || stopping.values().stream().anyMatch(s -> !s.confirmed && !s.sending);
    }
}
