package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.wire.TombstoneReply;
import io.pollenreach.internal.wire.TombstoneRequest;

/**
 * Refuses requests with a tombstone on every live entry, so that "not run" holds for every copy of a request.
 *
 * <p>Invariant: {@link ResultCode#NOT_RUN} is reported only after this entry and every live peer hold a tombstone for
 * the request, and no entry that might have started it was lost within the caller's longest deadline. Otherwise the
 * refusal is {@link ResultCode#NOT_ADMITTED}. Safe for use by many threads.
 */
final class TombstoneReplicator {
    private static final long REPLICATE_TIMEOUT_MS = 400;

    private final Blackboard board;
    private final Rpc rpc;
    private final Clock clock;

    TombstoneReplicator(Blackboard board, Rpc rpc, Clock clock) {
        this.board = board;
        this.rpc = rpc;
        this.clock = clock;
    }

    /**
     * Refuses a request that this entry has not sent anywhere; the future always fails with the code for the caller.
     */
    <T> CompletableFuture<T> refuse(CallerRequest request, String why) {
        return refuse(request, board.requests().recordTombstone(request.key()), why);
    }

    /** Refuses a request that this entry has started, and of which no runner has received a byte. */
    <T> CompletableFuture<T> retract(CallerRequest request, String why) {
        return refuse(request, board.requests().finishUnsent(request.key()), why);
    }

    private <T> CompletableFuture<T> refuse(CallerRequest request, boolean recordedHere, String why) {
        if (!recordedHere) {
            return failed(ResultCode.NOT_ADMITTED, why);
        }
        List<CompletableFuture<Boolean>> peers = new ArrayList<>();
        for (EntryInfo peer : board.entries().peers(clock.nowMs())) {
            peers.add(replicateTombstone(peer.address(), request));
        }
        return CompletableFuture.allOf(peers.toArray(CompletableFuture[]::new)).thenCompose(v -> {
            boolean everywhere = peers.stream().allMatch(CompletableFuture::join);
            // Checked after the acknowledgements: an entry lost in the meantime may have started the request.
            boolean certain = everywhere && !entryLostRecently();
            return failed(certain ? ResultCode.NOT_RUN : ResultCode.NOT_ADMITTED, why);
        });
    }

    private boolean entryLostRecently() {
        long now = clock.nowMs();
        long steadySince = board.entries().steadySinceMs(now);
        return steadySince != Long.MIN_VALUE && now - steadySince < RequestController.MAX_DEADLINE_MS;
    }

    private CompletableFuture<Boolean> replicateTombstone(String address, CallerRequest request) {
        TombstoneRequest message = new TombstoneRequest(request.id(), request.workspace());
        return rpc.call(address, message, TombstoneReply.class, REPLICATE_TIMEOUT_MS)
                .handle((b, t) -> t == null && b.neverStarts());
    }

    private static <T> CompletableFuture<T> failed(ResultCode code, String why) {
        return CompletableFuture.failedFuture(new PollenreachException(code, why));
    }
}
