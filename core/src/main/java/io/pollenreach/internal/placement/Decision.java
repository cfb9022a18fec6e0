package io.pollenreach.internal.placement;

import java.util.List;

import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;

/** What placement decided about one waiting job. Implementations are immutable. */
public sealed interface Decision permits Decision.Place, Decision.Wait, Decision.Refuse {
    /** Returns the key of the job. */
    String job();

    /** Returns why, as text for the log: what was chosen, what was rejected and for which reason. */
    String reason();

    /**
     * Starts the job on the given workers after the victims have stopped.
     *
     * @param job the job's key
     * @param parts one part for each rank
     * @param victims borrowers that must stop first
     * @param borrowed whether the job runs outside its workspace's guarantee
     * @param reason text for the log
     */
    record Place(String job, List<Part> parts, List<AttemptId> victims, boolean borrowed, String reason)
            implements Decision {
        public Place {
            parts = List.copyOf(parts);
            victims = List.copyOf(victims);
        }
    }

    /**
     * Leaves the job waiting.
     *
     * @param job the job's key
     * @param reason text for the log
     */
    record Wait(String job, String reason) implements Decision {}

    /**
     * Ends the job because it can never run.
     *
     * @param job the job's key
     * @param code the result code reported to the caller
     * @param reason explanation for people
     */
    record Refuse(String job, ResultCode code, String reason) implements Decision {}
}
