package io.pollenreach.daemon.internal.process;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.pollenreach.ManualClock;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class FatalErrorsTest {
    private final Queue<Integer> exits = new ConcurrentLinkedQueue<>();
    private final CountDownLatch ended = new CountDownLatch(1);

    @BeforeEach
    void recordExits() {
        FatalErrors.install(status -> {
            exits.add(status);
            ended.countDown();
        });
    }

    @AfterEach
    void uninstall() {
        FatalErrors.install(status -> {});
        Thread.setDefaultUncaughtExceptionHandler(null);
    }

    private void awaitEnd() throws InterruptedException {
        assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(exits).containsOnly(FatalErrors.EXIT_STATUS);
    }

    @Test
    void endsTheProcessWithAThreadThatThrows() throws Exception {
        Thread thread = new Thread(() -> {
            throw new IllegalStateException("as told");
        });
        thread.start();
        thread.join();

        awaitEnd();
    }

    @Test
    void endsTheProcessByAnErrorOfPeriodicWork() throws Exception {
        WorkThread thread = new WorkThread("test");
        thread.scheduleWithFixedDelay(
                () -> {
                    throw new OutOfMemoryError("as told");
                },
                0,
                1,
                TimeUnit.MILLISECONDS);

        awaitEnd();
        thread.shutdownNow();
    }

    // Guards against periodic work that is never done again, since the executor drops what has failed once.
    @Test
    void goesOnWithWorkThatFails() throws Exception {
        WorkThread thread = new WorkThread("test");
        AtomicInteger times = new AtomicInteger();
        CompletableFuture<Void> thrice = new CompletableFuture<>();
        thread.scheduleWithFixedDelay(
                () -> {
                    if (times.incrementAndGet() == 3) {
                        thrice.complete(null);
                    }
                    if (times.get() == 1) {
                        throw new IllegalStateException("as told");
                    }
                    throw new StackOverflowError("as told");
                },
                0,
                1,
                TimeUnit.MILLISECONDS);

        thrice.get(10, TimeUnit.SECONDS);
        thread.execute(() -> {
            throw new IllegalStateException("as told");
        });
        CompletableFuture.runAsync(() -> {}, thread).get(10, TimeUnit.SECONDS);
        thread.shutdownNow();
        assertThat(exits).isEmpty();
    }

    // Guards against an entry that goes on with an old configuration: an error of the listener ended its watch.
    @Test
    void endsTheProcessByAnErrorOfAListener() throws Exception {
        TableWatch.Listener listener = new TableWatch.Listener() {
            @Override
            public void snapshot(Rows rows) {
                throw new OutOfMemoryError("as told");
            }

            @Override
            public void changes(Rows rows) {}
        };
        try (TableWatch watch = new TableWatch(new MemoryStore(), Tables.JOBS, 1_000, new ManualClock(), listener)) {
            watch.start();

            awaitEnd();
        }
    }
}
