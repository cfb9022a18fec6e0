package io.pollenreach.internal.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.ResultCode;
import io.pollenreach.Shape;
import io.pollenreach.Workspace;

/**
 * Finds the jobs that could not be placed even if all accelerators were free. Stateless, so safe for use by many
 * threads.
 */
final class Feasibility {
    private Feasibility() {}

    /** Returns the decision to wait or refuse if free capacity alone cannot make the job placeable, else empty. */
    static Optional<Decision> exclude(ClusterView view, WaitingJob j) {
        String key = j.spec().key();
        Shape shape = j.spec().shape();
        Workspace w = view.workspaces().get(j.spec().workspace());
        if (w == null) {
            return Optional.of(new Decision.Wait(key, "workspace is not in the configuration in force"));
        }
        if (view.workers().isEmpty()) {
            return Optional.of(new Decision.Wait(key, "no worker is known"));
        }
        if (shape.accelerators() > w.maxAccelerators()) {
            String why = "needs " + shape.accelerators() + " accelerators, workspace limit is " + w.maxAccelerators();
            return Optional.of(new Decision.Refuse(key, ResultCode.OVER_QUOTA, why));
        }
        if (!holds(view.workers(), shape)) {
            String why = "no group of workers is large enough for " + text(shape);
            return Optional.of(new Decision.Refuse(key, ResultCode.NEVER_RUNNABLE, why));
        }
        return Optional.empty();
    }

    /** Tells whether the shape would fit if no accelerator were in use. */
    static boolean holds(List<WorkerView> workers, Shape shape) {
        Map<String, Integer> parts = new HashMap<>();
        for (WorkerView w : workers) {
            String group = shape.adjacency().group(w.zone(), w.rack());
            parts.merge(group, w.accelerators() / shape.acceleratorsPerPart(), Integer::sum);
        }
        return parts.values().stream().anyMatch(n -> n >= shape.parts());
    }

    /** Returns a shape as text for the log. */
    static String text(Shape s) {
        return s.parts() + "x" + s.acceleratorsPerPart() + "/" + s.adjacency();
    }
}
