package io.pollenreach.daemon.internal.rpc;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.pollenreach.PollenreachException;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Outcome;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReply;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.PeerHeartbeat;
import io.pollenreach.internal.wire.PeerState;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import io.pollenreach.internal.wire.WorkerParts;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Whatever bytes arrive, an envelope is decoded or refused with a numbered error, and nothing else happens. */
class EnvelopeFuzzTest {
    private static final int MUTATIONS = 500;
    private static final int MAX_CHANGES = 4;
    private static final AttemptId ID = new AttemptId("shop-a/cut-17", 2, "n");
    private static final PartReport REPORT = new PartReport(ID, 0, PartState.RUNNING, 8, "d");
    private static final TargetInfo TARGET =
            new TargetInfo("w1", 1, 2, TargetKind.WORKER, "", "setubal", "r1", "10.0.0.1:1", 8, 0, Load.NONE, true);
    private static final List<Message> MESSAGES = List.of(
            new Heartbeat(TARGET, List.of(REPORT), true, 41, true),
            new HeartbeatReply(
                    "10.0.0.1:1", List.of("10.0.0.1:1"), 7, Json.lenient().createObjectNode(), List.of(ID)),
            new PeerHeartbeat(
                    "10.0.0.8:1",
                    "setubal",
                    1,
                    true,
                    3,
                    3,
                    List.of(TARGET),
                    List.of(new WorkerParts("w1", 1, 2, List.of(REPORT))),
                    List.of("w3"),
                    List.of("10.0.0.7:1")),
            new PeerState(3, Json.lenient().createObjectNode().put("a", 1), List.of("k"), 5L),
            new Reserve(ID, 1, 8, 2_000, List.of(ID), 300),
            new Prepare(ID, 1, List.of(new Part(0, "w1", "10.0.0.1:1", 8)), "train", 60_000),
            new Stop(ID, 3, 1_000, "w1"),
            new PartReply(REPORT),
            new Execute("r1", "tejo", true, "GET", "/", "text/plain", new byte[] {1, 2, 3}, 500, 7),
            new Executed("r1", "tejo", Outcome.values()[0], 200, "text/plain", new byte[] {1}, "d"));

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void alteredFrameIsDecodedOrRefusedWithANumber(long seed) {
        Random random = new Random(seed);
        List<String> failures = new ArrayList<>();
        for (Message message : MESSAGES) {
            byte[] valid = EnvelopeCodec.encode(Envelope.call(9, message));
            for (int i = 0; i < MUTATIONS; i++) {
                byte[] altered = alter(valid, random);
                try {
                    EnvelopeCodec.decode(altered);
                } catch (PollenreachException e) {
                    assertThat(e.code().number()).isPositive();
                } catch (RuntimeException | Error e) {
                    failures.add(message.getClass().getSimpleName() + " " + e + " " + Arrays.toString(altered));
                }
            }
        }
        assertThat(failures).isEmpty();
    }

    private static byte[] alter(byte[] valid, Random random) {
        byte[] bytes = valid.clone();
        for (int n = 1 + random.nextInt(MAX_CHANGES); n > 0 && bytes.length > 0; n--) {
            int at = random.nextInt(bytes.length);
            switch (random.nextInt(4)) {
                case 0:
                    bytes[at] = (byte) random.nextInt(256);
                    break;
                case 1:
                    bytes[at] ^= (byte) (1 << random.nextInt(8));
                    break;
                case 2:
                    bytes = Arrays.copyOf(bytes, at);
                    break;
                default:
                    int from = random.nextInt(bytes.length);
                    int length = Math.min(random.nextInt(20), bytes.length - Math.max(at, from));
                    System.arraycopy(valid, Math.min(from, valid.length - length), bytes, at, length);
            }
        }
        return bytes;
    }
}
