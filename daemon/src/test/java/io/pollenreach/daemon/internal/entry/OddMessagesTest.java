package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.JobState;
import io.pollenreach.ManualClock;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.PartReport;
import io.pollenreach.internal.wire.PartState;
import io.pollenreach.internal.wire.PeerHeartbeat;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import io.pollenreach.internal.wire.WorkerParts;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** One heartbeat with an odd field stops neither planning nor supervision nor the heartbeats between entries. */
class OddMessagesTest {
    private static final List<String> ODD_VALUES = List.of(
            "null", "\"\"", "\"odd\"", "-1", "1.5", "9223372036854775807", "true", "[]", "{}", "[null]", "[{}]");
    private static final AttemptId ID = new AttemptId(JobStoreTest.SPEC.key(), 1, "n");
    private static final PartReport RUNNING = new PartReport(ID, 0, PartState.RUNNING, 4, "");

    private final List<String> failures = new ArrayList<>();
    private int taken;

    @Test
    void oddHeartbeatOfAnAgentStopsNothing() {
        alterEachField(new Heartbeat(worker("w2"), List.of(RUNNING), true, 1, false));
        assertThat(failures).isEmpty();
        assertThat(taken).isPositive();
    }

    @Test
    void oddHeartbeatOfAPeerStopsNothing() {
        alterEachField(new PeerHeartbeat(
                "10.0.0.8:1",
                "setubal",
                1,
                false,
                1,
                1,
                List.of(worker("w2")),
                List.of(new WorkerParts("w2", 1, 1, List.of(RUNNING))),
                List.of("w3"),
                List.of("10.0.0.7:1")));
        assertThat(failures).isEmpty();
        assertThat(taken).isPositive();
    }

    private static TargetInfo worker(String name) {
        return new TargetInfo(name, 1, 1, TargetKind.WORKER, "", "setubal", "r1", "10.0.0.2:1", 8, 0, Load.NONE, false);
    }

    private void alterEachField(Message valid) {
        JsonNode root = Json.lenient().valueToTree(valid);
        ((ObjectNode) root).put("t", valid.getClass().getSimpleName().replace("PeerHeartbeat", "PeerBeat"));
        alter(root, root, "");
    }

    private void alter(JsonNode root, JsonNode node, String path) {
        if (node instanceof ObjectNode) {
            ObjectNode object = (ObjectNode) node;
            for (Map.Entry<String, JsonNode> field : List.copyOf(object.properties())) {
                String name = path + "/" + field.getKey();
                object.remove(field.getKey());
                take(root, name + " is absent");
                tryValues(root, name, v -> object.set(field.getKey(), v));
                object.set(field.getKey(), field.getValue());
                alter(root, field.getValue(), name);
            }
        } else if (node instanceof ArrayNode) {
            ArrayNode array = (ArrayNode) node;
            for (int i = 0; i < array.size(); i++) {
                int index = i;
                JsonNode element = array.get(i);
                tryValues(root, path + "/" + i, v -> array.set(index, v));
                array.set(index, element);
                alter(root, element, path + "/" + i);
            }
        }
    }

    private void tryValues(JsonNode root, String name, Consumer<JsonNode> set) {
        for (String odd : ODD_VALUES) {
            set.accept(json(odd));
            take(root, name + " is " + odd);
        }
    }

    private static JsonNode json(String text) {
        try {
            return Json.lenient().readTree(text);
        } catch (JsonProcessingException e) {
            throw new AssertionError(e);
        }
    }

    private void take(JsonNode altered, String what) {
        Message message;
        try {
            message = Json.lenient().treeToValue(altered, Message.class);
        } catch (JsonProcessingException e) {
            return;
        }
        taken++;
        EntryLoops entry = new EntryLoops();
        entry.handler.handle(message);
        entry.run(what, failures);
    }

    /** The periodic work of an entry that has a running job, a waiting one and one worker. */
    private static final class EntryLoops {
        private final ManualClock clock = new ManualClock();
        private final EntryInfo self = new EntryInfo("10.0.0.9:1", "setubal", 1, false, 0);
        private final Blackboard board = new Blackboard(new EntryView(self.address(), self.zone(), 1), clock);
        private final JobStore store = new JobStore(new FakeTable(), board.jobs(), clock);
        private final FakeRpc rpc = new FakeRpc();
        private final GangClient gangs = new GangClient(rpc);
        private final WorkerExclusions exclusions = new WorkerExclusions(clock);
        private final ClusterViews views = new ClusterViews(board, exclusions, clock);
        private final Membership membership = new Membership(board, rpc, clock, self, () -> {}, () -> {});
        private final AgentHeartbeatHandler agents = new AgentHeartbeatHandler(board, clock, () -> {}, () -> {});
        private final PeerHandler handler = new PeerHandler(board, membership, agents, null, null, () -> true);

        private EntryLoops() {
            Workspace tejo = new Workspace("tejo", List.of(), 64, 1, 10, "");
            JsonNode row = Json.lenient().valueToTree(tejo);
            board.config().apply(new RowList(1, List.of(new Row("config", "workspace/tejo", 1, 1, false, row))));
            agents.handle(new Heartbeat(worker("w1"), List.of(), true, 0, false));
            JobRow running =
                    store.create(JobRecord.submit(JobStoreTest.SPEC, 1)).join();
            List<Part> parts = List.of(new Part(0, "w2", "10.0.0.2:1", 4));
            JobRow placed =
                    store.update(running, j -> j.place(ID, parts, false, "")).join();
            store.update(placed, j -> j.run(2)).join();
        }

        private void run(String what, List<String> failures) {
            clock.advanceMs(500);
            attempt(
                    what + ": answer",
                    failures,
                    () -> agents.handle(new Heartbeat(worker("w4"), List.of(), true, 0, false)));
            attempt(what + ": beat", failures, membership::beat);
            attempt(what + ": sweep", failures, () -> board.targets().sweep(clock.nowMs()));
            attempt(what + ": view", failures, () -> views.snapshot(Map.of()));
            attempt(what + ": agents' versions", failures, () -> board.lowestAgentVersion(clock.nowMs()));
            attempt(what + ": plan", failures, this::plan);
            JobRow row = board.jobs().get(JobStoreTest.SPEC.key()).orElseThrow();
            attempt(what + ": parts", failures, () -> new PartViews(board, clock).of(row));
            attempt(what + ": ends", failures, () -> board.targets().live(clock.nowMs()).stream()
                    .flatMap(t -> board.parts().get(t.id()).map(WorkerParts::parts).orElse(List.of()).stream())
                    .forEach(p -> assertThat(p.id().job() + p.state()).isNotEmpty()));
        }

        private void plan() {
            JobRecord next = JobRecord.submit(JobStoreTest.SPEC, 1);
            assertThat(next.state()).isEqualTo(JobState.WAITING);
            GangStarter starter = new GangStarter(board, store, gangs, exclusions, clock);
            board.jobs().remove(JobStoreTest.SPEC.key(), 4);
            board.jobs().putIfNewer(new JobRow(JobStoreTest.SPEC.key(), 5, next, 0));
            new Planner(board, GuaranteedPlacer.builder().build(), views, starter, store, clock, () -> {}).plan();
        }

        private static void attempt(String what, List<String> failures, Runnable step) {
            try {
                step.run();
            } catch (RuntimeException e) {
                failures.add(what + " " + e);
            }
        }
    }
}
