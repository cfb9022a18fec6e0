package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;
import io.pollenreach.internal.wire.Unreserve;

/**
 * Sends each step of the gang protocol to the agents of all parts in parallel.
 *
 * <p>Stateless, so safe for use by many threads.
 */
final class GangClient {
    /** How long an agent keeps a reservation that is not followed by a prepare, in milliseconds. */
    static final long RESERVE_TTL_MS = 5_000;
    /** How long a borrower has to checkpoint when it is reclaimed, in milliseconds. */
    static final long RECLAIM_GRACE_MS = 300;

    private static final long RESERVE_TIMEOUT_MS = RECLAIM_GRACE_MS + 250;
    private static final long PREPARE_TIMEOUT_MS = 2_000;
    private static final long RELEASE_TIMEOUT_MS = 2_000;
    private static final long STOP_TIMEOUT_MS = 3_000;

    private final Rpc rpc;

    GangClient(Rpc rpc) {
        this.rpc = rpc;
    }

    /**
     * The result of one protocol step for one part.
     *
     * @param part the part
     * @param report the state of the part as reported by its agent; empty if the response contained none
     * @param failure why the step failed; null if it succeeded
     */
    record PartResult(Part part, Optional<PartReport> report, PollenreachException failure) {
        boolean ok() {
            return failure == null;
        }
    }

    /** Reserves all parts; {@code victims} lists the borrowers to stop, by worker. */
    CompletableFuture<List<PartResult>> reserve(AttemptId id, List<Part> parts, Map<String, List<AttemptId>> victims) {
        return callAgents(parts, RESERVE_TIMEOUT_MS, p -> {
            List<AttemptId> stop = victims.getOrDefault(p.worker(), List.of());
            return new Reserve(id, p.rank(), p.accelerators(), RESERVE_TTL_MS, stop, RECLAIM_GRACE_MS);
        });
    }

    CompletableFuture<List<PartResult>> unreserve(AttemptId id, List<Part> parts) {
        return callAgents(parts, PREPARE_TIMEOUT_MS, p -> new Unreserve(id, p.rank()));
    }

    CompletableFuture<List<PartResult>> prepare(JobRecord job) {
        return callAgents(
                job.parts(),
                PREPARE_TIMEOUT_MS,
                p -> new Prepare(
                        job.attemptId(),
                        p.rank(),
                        job.parts(),
                        job.spec().command(),
                        job.spec().declaredMs()));
    }

    CompletableFuture<List<PartResult>> release(AttemptId id, List<Part> parts) {
        return callAgents(parts, RELEASE_TIMEOUT_MS, p -> new Release(id, p.rank()));
    }

    CompletableFuture<List<PartResult>> stop(AttemptId id, List<Part> parts, long graceMs) {
        return callAgents(parts, graceMs + STOP_TIMEOUT_MS, p -> new Stop(id, p.rank(), graceMs, p.worker()));
    }

    private CompletableFuture<List<PartResult>> callAgents(
            List<Part> parts, long timeoutMs, Function<Part, Message> message) {
        List<CompletableFuture<PartResult>> calls = new ArrayList<>();
        for (Part p : parts) {
            calls.add(rpc.call(p.address(), message.apply(p), timeoutMs)
                    .handle((m, t) -> t == null ? succeeded(p, m) : failed(p, t)));
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(v -> calls.stream().map(CompletableFuture::join).toList());
    }

    private static PartResult succeeded(Part p, Message m) {
        if (m instanceof PartReply) {
            return new PartResult(p, Optional.of(((PartReply) m).part()), null);
        }
        return new PartResult(p, Optional.empty(), null);
    }

    private static PartResult failed(Part p, Throwable t) {
        return new PartResult(p, Optional.empty(), PollenreachException.of(t));
    }
}
