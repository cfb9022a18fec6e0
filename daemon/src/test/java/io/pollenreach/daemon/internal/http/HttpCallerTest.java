package io.pollenreach.daemon.internal.http;

import java.io.File;
import java.lang.reflect.Field;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;
import sun.misc.Unsafe;

import static org.assertj.core.api.Assertions.assertThat;

class HttpCallerTest {
    private static URL url(String path) {
        try {
            return Path.of(path).toUri().toURL();
        } catch (MalformedURLException e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a process that starts and then answers nothing: its first call as a server and the first answer to
    // it as a client came at once, and their threads waited for each other to initialise two classes of Ratpack.
    @Test
    void initialisesTheClassesThatWaitForEachOtherBeforeItsFirstCall() throws Exception {
        URL[] classPath = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .map(HttpCallerTest::url)
                .toArray(URL[]::new);
        Field field = Unsafe.class.getDeclaredField("theUnsafe");
        field.setAccessible(true);
        Unsafe unsafe = (Unsafe) field.get(null);
        // A loader of its own, in which no other test has used the classes.
        try (URLClassLoader fresh = new URLClassLoader(classPath, ClassLoader.getPlatformClassLoader())) {
            Class.forName(HttpCaller.class.getName(), true, fresh);

            for (String name : new String[] {"ratpack.http.Status", "ratpack.http.internal.DefaultStatus"}) {
                Class<?> type = Class.forName(name, false, fresh);
                assertThat(unsafe.shouldBeInitialized(type)).as(name).isFalse();
            }
        }
    }
}
