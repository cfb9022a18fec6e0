package io.pollenreach.daemon.internal.rpc;

import java.util.HashSet;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.Ack;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Failure;
import io.pollenreach.internal.wire.GangHeartbeat;
import io.pollenreach.internal.wire.GangHeartbeatReply;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.JobChanged;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.OutcomeQuery;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import io.pollenreach.internal.wire.TombstoneRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EnvelopeCodecTest {
    private static final AttemptId ID = new AttemptId("shop-a/cut-17", 2, "n");
    private static final PartReport REPORT = new PartReport(ID, 0, PartState.RUNNING, 8, "");
    private static final int MAX_IDLE_HEARTBEAT_BYTES = 160;

    private static Heartbeat heartbeat(Load load, List<PartReport> parts, boolean draining) {
        TargetInfo target = new TargetInfo(
                "worker-17",
                1_796_368_800_000L,
                120_000,
                TargetKind.WORKER,
                "",
                "setubal",
                "rack-3",
                "127.0.0.1:17000",
                8,
                0,
                load,
                draining);
        return new Heartbeat(target, parts, draining, 41, draining);
    }

    @Test
    void everyFieldComesBack() {
        List<Message> messages = List.of(
                heartbeat(new Load(1, 2, 3.5, 4), List.of(REPORT), true),
                heartbeat(Load.NONE, List.of(), false),
                new HeartbeatReply("127.0.0.1:1", List.of("127.0.0.1:1"), 7, node(), List.of(ID)),
                new Reserve(ID, 1, 8, 2_000, List.of(ID), 300),
                new Prepare(ID, 1, List.of(new Part(0, "w1", "127.0.0.1:1", 8)), "train", 60_000),
                new Release(ID, 0),
                new Stop(ID, 3, 1_000, "w1"),
                new PartReply(REPORT),
                new GangHeartbeat("w1", List.of(REPORT)),
                new GangHeartbeatReply(List.of(ID)),
                new OutcomeQuery("r1", "lab-a", 5),
                new TombstoneRequest("r1", "lab-a"),
                new JobChanged("shop-a/cut-17"),
                new Failure(7005, "id", "old"),
                new Ack());
        for (Message m : messages) {
            Envelope sent = Envelope.call(9, m);
            assertThat(EnvelopeCodec.decode(EnvelopeCodec.encode(sent))).isEqualTo(sent);
            Envelope answer = Envelope.answer(0, m);
            assertThat(EnvelopeCodec.decode(EnvelopeCodec.encode(answer))).isEqualTo(answer);
        }
    }

    private static JsonNode node() {
        return Json.lenient().createObjectNode().put("draining", true);
    }

    @Test
    void idleHeartbeatIsSmall() {
        byte[] frame = EnvelopeCodec.encode(Envelope.call(100_000, heartbeat(Load.NONE, List.of(), false)));
        assertThat(frame.length).isLessThanOrEqualTo(MAX_IDLE_HEARTBEAT_BYTES);
    }

    @Test
    void codesOfNamesAreDistinctAndNeverNames() {
        Map<String, String> codes = WireNames.all();
        assertThat(new HashSet<>(codes.values())).hasSameSizeAs(codes.keySet());
        assertThat(codes.values()).allMatch(c -> c.matches("[A-Z]{1,2}"));
        assertThat(codes).containsEntry("target", "A").containsEntry("targetIncarnation", "AR");
    }
}
