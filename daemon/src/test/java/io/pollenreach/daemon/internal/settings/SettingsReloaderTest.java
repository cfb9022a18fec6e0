package io.pollenreach.daemon.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsReloaderTest {
    private static final long TIMEOUT_S = 20;

    @TempDir
    Path directory;

    private final HangupSignal hangup = HangupSignal.detached();
    private final BlockingQueue<Sample> reloads = new LinkedBlockingQueue<>();
    private Path file;
    private SettingsReloader<Sample> reloader;

    /** Settings of a daemon that can change its limit but not its port. */
    public record Sample(int port, int limit) {}

    private final class SampleDaemon implements ReloadableDaemon<Sample> {
        @Override
        public void reload(Sample settings) {
            reloads.add(settings);
        }

        @Override
        public void close() {}
    }

    private static Sample load(Path path) {
        try {
            String[] words = Files.readString(path).split(" ");
            return new Sample(Integer.parseInt(words[0]), Integer.parseInt(words[1]));
        } catch (IOException | RuntimeException e) {
            throw new PollenreachException(ResultCode.MALFORMED, null, "unreadable", e);
        }
    }

    @BeforeEach
    void start() throws IOException {
        file = Files.writeString(directory.resolve("settings"), "7000 1");
        reloader = new SettingsReloader<>(file, SettingsReloaderTest::load, Set.of("limit"), hangup);
        reloader.start(new SampleDaemon());
    }

    @AfterEach
    void stop() {
        reloader.close();
    }

    private Sample nextReload() throws InterruptedException {
        return reloads.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void appliesAChangeAfterASignal() throws Exception {
        Files.writeString(file, "7000 2");
        hangup.request();

        assertThat(nextReload()).isEqualTo(new Sample(7000, 2));
    }

    @Test
    void findsAChangeWithoutASignal() throws Exception {
        Files.writeString(file, "7000 3");

        assertThat(nextReload()).isEqualTo(new Sample(7000, 3));
    }

    @Test
    void keepsTheOldSettingsWhenTheFileIsCutShort() throws Exception {
        Files.writeString(file, "7000");
        hangup.request();
        Files.writeString(file, "70");
        hangup.request();
        Files.writeString(file, "7000 4");
        hangup.request();

        assertThat(nextReload()).isEqualTo(new Sample(7000, 4));
        assertThat(reloads).isEmpty();
    }

    @Test
    void leavesSettingsThatNeedARestartAsTheyAre() throws Exception {
        Files.writeString(file, "9000 5");
        hangup.request();

        assertThat(nextReload()).isEqualTo(new Sample(7000, 5));
        assertThat(reloader.settings().port()).isEqualTo(7000);
    }

    @Test
    void goesOnAfterTheFileWasMissing() throws Exception {
        Files.delete(file);
        hangup.request();
        Files.writeString(file, "7000 6");
        hangup.request();

        assertThat(nextReload()).isEqualTo(new Sample(7000, 6));
    }
}
