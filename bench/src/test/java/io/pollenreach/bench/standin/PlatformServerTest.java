package io.pollenreach.bench.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.services.HttpObjectStore;
import io.pollenreach.daemon.internal.services.HttpTable;
import io.pollenreach.daemon.internal.services.HttpTaskRuntime;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.daemon.internal.services.TaskStatus;
import io.pollenreach.daemon.internal.services.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Drives the platform's stand-in through the daemons' own clients. */
@Timeout(20)
class PlatformServerTest {
    private static final long TIMEOUT_MS = 5_000;
    private static final long SHORT_TIMEOUT_MS = 300;
    private static final long LEASE_MS = 60_000;
    private static final long USAGE_LAG_MS = 50;

    private PlatformServer platform;
    private HttpCaller http;
    private HttpTable table;

    @BeforeEach
    void start() throws Exception {
        platform = new PlatformServer("127.0.0.1:0", 300, 2_000, USAGE_LAG_MS);
        http = new HttpCaller(1, 8);
        table = new HttpTable(http, "http://" + platform.address(), TIMEOUT_MS);
    }

    @AfterEach
    void stop() throws Exception {
        http.close();
        platform.close();
    }

    @Test
    void transactionTakesEffectWholeOrNotAtAll() {
        assertThat(table.transact(List.of(write("jobs", "shop-a/x", 0, "1"), write("jobs", "shop-a/y z", 0, "2")))
                        .join())
                .containsExactly(1L, 1L);

        assertThat(code(table.transact(
                        List.of(write("jobs", "shop-a/x", 1, "3"), write("jobs", "shop-a/y z", 7, "4")))))
                .isEqualTo(ResultCode.CONFLICT);

        Row row = table.get("jobs", "shop-a/x").join().orElseThrow();
        assertThat(row).isEqualTo(new Row("jobs", "shop-a/x", 1, 1, false, TextNode.valueOf("1")));
        assertThat(table.get("jobs", "shop-a/y z").join()).map(Row::version).contains(1L);
        assertThat(table.get("jobs", "other").join()).isEmpty();
    }

    @Test
    void listSinceARevisionTellsOfDeletedRows() {
        table.put(write("config", "a/1", 0, "1")).join();
        table.put(write("config", "a/2", 0, "2")).join();
        table.put(write("config", "b/1", 0, "3")).join();
        table.put(new Write("config", "a/1", 1, null)).join();

        RowList all = table.list("config", "a/", 0).join();
        assertThat(all.revision()).isEqualTo(4);
        assertThat(all.rows()).extracting(Row::key).containsExactly("a/2");
        RowList changed = table.list("config", "", 2).join();
        assertThat(changed.rows()).extracting(Row::key).containsExactly("b/1", "a/1");
        assertThat(changed.rows().get(1)).isEqualTo(new Row("config", "a/1", 2, 4, true, null));
        assertThat(table.put(write("config", "a/1", 0, "again")).join()).isEqualTo(3);
    }

    @Test
    void writesAboveTheRateAreRefusedAndNotDone() throws Exception {
        try (PlatformServer slow = new PlatformServer("127.0.0.1:0", 1, 1_000, 0)) {
            HttpTable limited = new HttpTable(http, "http://" + slow.address(), TIMEOUT_MS);
            List<Write> pair = List.of(write("t", "a", 0, "1"), write("t", "b", 0, "1"));
            limited.transact(pair).join();
            assertThat(code(limited.put(write("t", "c", 0, "1")))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
            assertThat(limited.get("t", "c").join()).isEmpty();
        }
    }

    @Test
    void failuresAreToldApartByWhetherTheWriteMayHaveTakenEffect() throws Exception {
        platform.setFaults(new PlatformFaults(true, 0, 0, 0, null, false));
        assertThat(code(table.put(write("t", "down", 0, "1")))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
        assertThat(code(table.get("t", "down"))).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);

        HttpTable hasty = new HttpTable(http, "http://" + platform.address(), SHORT_TIMEOUT_MS);
        platform.setFaults(new PlatformFaults(false, 0, 100, 7, null, false));
        for (int i = 0; i < 4; i++) {
            assertThat(code(hasty.put(write("t", "lost" + i, 0, "1")))).isEqualTo(ResultCode.WRITE_UNKNOWN);
        }
        platform.setFaults(PlatformFaults.NONE);
        assertThat(table.list("t", "lost", 0).join().rows()).hasSize(4);
        assertThat(table.get("t", "down").join()).isEmpty();

        platform.close();
        assertThat(code(new HttpTable(http, "http://127.0.0.1:1", TIMEOUT_MS).put(write("t", "x", 0, "1"))))
                .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Test
    void objectsAreKeptUntilDeleted() {
        HttpObjectStore objects = new HttpObjectStore(http, "http://" + platform.address(), TIMEOUT_MS);
        objects.put("answers", "a/b", "body".getBytes(StandardCharsets.UTF_8)).join();
        assertThat(objects.get("answers", "a/b").join().map(b -> new String(b, StandardCharsets.UTF_8)))
                .contains("body");
        objects.delete("answers", "a/b").join();
        assertThat(objects.get("answers", "a/b").join()).isEmpty();
    }

    @Test
    void tasksEndAsTheirCommandsSay() throws Exception {
        HttpTaskRuntime worker = worker("w1");
        run(worker, "ok", "sleep:20", LEASE_MS);
        run(worker, "bad", "fail:20", LEASE_MS);
        run(worker, "never", "failfast", LEASE_MS);
        run(worker, "lapsed/0", "hang", 50);
        run(worker, "long", "sleep:60000", LEASE_MS);
        worker.throttle("long", 50).join();
        worker.checkpoint("long").join();
        run(worker, "hung", "hang", LEASE_MS);
        assertThat(worker.stop("long", 1_000).join().state()).isEqualTo(TaskStatus.State.STOPPED);
        TaskStatus hung = worker.stop("hung", 50).join();
        assertThat(hung.detail()).isEqualTo("killed after the grace");
        assertThat(hung.checkpointMs()).isZero();
        assertThat(code(worker.start("unknown"))).isEqualTo(ResultCode.NOT_FOUND);

        assertThat(awaitEnd(worker, "ok")).isEqualTo(TaskStatus.State.SUCCEEDED);
        assertThat(awaitEnd(worker, "bad")).isEqualTo(TaskStatus.State.FAILED);
        assertThat(awaitEnd(worker, "never")).isEqualTo(TaskStatus.State.FAILED);
        assertThat(awaitEnd(worker, "lapsed/0")).isEqualTo(TaskStatus.State.LAPSED);
        assertThat(worker("w2").list().join()).isEmpty();
    }

    @Test
    void historyTellsWhatRanWhere() throws Exception {
        HttpTaskRuntime worker = worker("w1");
        run(worker, "a", "sleep:20", LEASE_MS);
        awaitEnd(worker, "a");
        platform.setFaults(new PlatformFaults(false, 0, 0, 0, "w1", true));
        run(worker, "b", "sleep:20", LEASE_MS);
        table.put(write("t", "k", 0, "v")).join();

        String uri = "http://" + platform.address() + "/history?since=0";
        byte[] body = http.call("GET", URI.create(uri), Map.of(), new byte[0], TIMEOUT_MS)
                .join()
                .body();
        HistoryPage page = Exchange.parse(body, HistoryPage.class);
        assertThat(page.dropped()).isZero();
        assertThat(page.entries().stream().map(HistoryEntry::event).collect(Collectors.toList()))
                .containsExactly(
                        new HistoryEvent.TaskHeld("w1", "a", 2, "sleep:20"),
                        new HistoryEvent.TaskStarted("w1", "a", 2),
                        new HistoryEvent.TaskEnded("w1", "a", 2, "SUCCEEDED", true, "exit status 0"),
                        page.entries().get(3).event(),
                        new HistoryEvent.TaskHeld("w1", "b", 2, "sleep:20"),
                        new HistoryEvent.TaskEnded("w1", "b", 2, "FAILED", false, "the start failed"),
                        new HistoryEvent.RowWritten("t", "k", 1, 1, TextNode.valueOf("v")));
    }

    private HttpTaskRuntime worker(String name) {
        return new HttpTaskRuntime(http, "http://" + platform.address() + "/workers/" + name, TIMEOUT_MS);
    }

    private static void run(HttpTaskRuntime worker, String task, String command, long leaseMs) {
        worker.create(task, 2, command, leaseMs).join();
        worker.start(task).join();
    }

    private static TaskStatus.State awaitEnd(HttpTaskRuntime worker, String task) throws InterruptedException {
        while (true) {
            Optional<TaskStatus> status = worker.list().join().stream()
                    .filter(t -> t.id().equals(task))
                    .findFirst();
            if (status.isPresent() && status.get().state().ended()) {
                return status.get().state();
            }
            Thread.sleep(10);
        }
    }

    private static Write write(String table, String key, long expected, String value) {
        JsonNode node = TextNode.valueOf(value);
        return new Write(table, key, expected, node);
    }

    private static ResultCode code(CompletableFuture<?> future) {
        return future.handle((v, t) ->
                        t == null ? ResultCode.OK : PollenreachException.of(t).code())
                .join();
    }
}
