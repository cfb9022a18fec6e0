package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HomeLinkTest {
    private static final AttemptId CUT = new AttemptId("shop-a/cut", 1, "n");

    private final ManualClock clock = new ManualClock();
    private final FakeRpc rpc = new FakeRpc();
    private final List<Heartbeat> heard = new ArrayList<>();
    private final List<AttemptId> settled = new ArrayList<>();
    private HeartbeatReply reply = new HeartbeatReply("e1", List.of("e1", "e2"), 0, null, List.of());
    private long version = 1;

    private final PartReporter parts = new PartReporter() {
        @Override
        public PartChanges changes(long sinceVersion, boolean whole) {
            PartReport report = new PartReport(CUT, 0, PartState.RUNNING, 8, "");
            return new PartChanges(whole || sinceVersion < version ? List.of(report) : List.of(), version);
        }

        @Override
        public void forgetEnded(long reportedVersion, List<AttemptId> ids) {
            settled.addAll(ids);
        }
    };
    private final HomeLink link =
            new HomeLink(settings(), "w1", rpc.from("w1"), clock, Runnable::run, new FakeTarget(parts));

    private static AgentSettings settings() {
        return new AgentSettings(
                "w1", TargetKind.WORKER, "", "setubal", "r1", "", "", List.of("balancer"), "", 8, 0, 0, 1_000);
    }

    @BeforeEach
    void serve() {
        for (String address : List.of("balancer", "e1", "e2")) {
            rpc.handlers.put(address, this::handle);
        }
    }

    private CompletableFuture<Message> handle(Message message) {
        heard.add((Heartbeat) message);
        return CompletableFuture.completedFuture(reply);
    }

    private void beat() {
        clock.advanceMs(AgentTimes.HEARTBEAT_MS);
        link.sendHeartbeat();
    }

    @Test
    void goesFromTheBalancerToItsHomeAndThenSendsChangesOnly() {
        beat();
        beat();
        beat();
        assertThat(rpc.log).containsExactly("balancer Heartbeat", "e1 Heartbeat", "e1 Heartbeat");
        assertThat(heard).extracting(Heartbeat::whole).containsExactly(true, true, false);
        assertThat(heard.get(2).parts()).isEmpty();
        version = 2;
        beat();
        assertThat(heard.get(3).parts()).hasSize(1);
    }

    @Test
    void fallsBackToOtherEntriesAndThenToTheSettings() {
        beat();
        beat();
        rpc.cut.add("e1");
        rpc.log.clear();
        beat();
        rpc.cut.add("e2");
        beat();
        beat();
        assertThat(rpc.log).containsExactly("e1 Heartbeat", "e2 Heartbeat", "balancer Heartbeat");
        assertThat(heard.get(heard.size() - 1).whole()).isTrue();
    }

    @Test
    void announcementsAreOrdered() {
        beat();
        rpc.cut.add("e1");
        beat();
        beat();
        assertThat(heard.get(1).target().newerThan(heard.get(0).target())).isTrue();
    }

    @Test
    void configurationNeverGoesBack() {
        JsonNode third = TextNode.valueOf("third");
        reply = new HeartbeatReply("e1", List.of(), 3, third, List.of());
        beat();
        reply = new HeartbeatReply("e1", List.of(), 2, TextNode.valueOf("second"), List.of());
        beat();
        assertThat(link.configVersion()).isEqualTo(3);
        assertThat(link.config()).hasValue(third);
        beat();
        assertThat(heard.get(2).configVersion()).isEqualTo(3);
    }

    @Test
    void announcesTheDrainThatAnOperatorAskedFor() {
        reply = new HeartbeatReply("e1", List.of(), 1, draining(true), List.of());
        beat();
        reply = new HeartbeatReply("e1", List.of(), 2, draining(false), List.of());
        beat();
        beat();
        assertThat(heard).extracting(h -> h.target().draining()).containsExactly(false, true, false);
    }

    private static JsonNode draining(boolean draining) {
        return Json.lenient().createObjectNode().put("draining", draining);
    }

    @Test
    void staysWithAnEntryThatOnlyLacksTheWholeList() {
        beat();
        beat();
        rpc.handlers.put("e1", m -> {
            heard.add((Heartbeat) m);
            return ((Heartbeat) m).whole()
                    ? CompletableFuture.completedFuture(reply)
                    : CompletableFuture.failedFuture(new PollenreachException(ResultCode.UNKNOWN_PART, "w1"));
        });
        rpc.log.clear();
        beat();
        assertThat(rpc.log).containsExactly("e1 Heartbeat", "e1 Heartbeat");
        assertThat(heard.get(heard.size() - 1).whole()).isTrue();
    }

    @Test
    void passesOnWhatIsSettled() {
        reply = new HeartbeatReply("e1", List.of(), 0, null, List.of(CUT));
        beat();
        assertThat(settled).containsExactly(CUT);
    }

    @Test
    void sendsOneHeartbeatAtATimeAndTheUrgentOneAfterwards() {
        CompletableFuture<Message> slow = new CompletableFuture<>();
        rpc.handlers.put("balancer", m -> slow);
        beat();
        link.requestHeartbeat();
        beat();
        assertThat(rpc.log).containsExactly("balancer Heartbeat");
        slow.complete(reply);
        assertThat(rpc.log).containsExactly("balancer Heartbeat", "e1 Heartbeat");
    }

    @Test
    void saysThatItLeavesToAnEntryThatAnswersAndIsSilentAfterwards() {
        beat();
        rpc.cut.add("e1");
        assertThat(link.announceDeparture()).isCompleted();
        assertThat(heard.get(heard.size() - 1).leaving()).isTrue();
        assertThat(heard.get(heard.size() - 1).target().draining()).isTrue();
        rpc.log.clear();
        beat();
        assertThat(rpc.log).isEmpty();
    }

    @Test
    void silenceCountsFromTheLastAnsweredHeartbeat() {
        beat();
        rpc.cut.addAll(List.of("balancer", "e1", "e2"));
        for (int i = 0; i < 60; i++) {
            beat();
        }
        assertThat(link.sinceLastContactMs()).isEqualTo(30_000);
    }
}
