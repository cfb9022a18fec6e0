package io.pollenreach.daemon.internal.http;

import java.net.InetAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import javax.net.ssl.SSLContext;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.google.common.reflect.TypeToken;
import io.netty.handler.ssl.SslContext;
import ratpack.config.ConfigObject;
import ratpack.file.FileSystemBinding;
import ratpack.server.NoBaseDirException;
import ratpack.server.ServerConfig;

/**
 * The configuration of an HTTP server that needs no files, no TLS and no configuration sources.
 *
 * <p>Ratpack's own builder binds its configuration through an object mapper of its own, which takes about a quarter of
 * the processor time of an agent's start. Immutable, so safe for use by many threads.
 */
final class ListenerConfig implements ServerConfig {
    private static final Duration NO_IDLE_TIMEOUT = Duration.ZERO;

    private final InetAddress address;
    private final int port;
    private final int threads;
    private final int maxContentLength;

    private ListenerConfig(InetAddress address, int port, int threads, int maxContentLength) {
        this.address = address;
        this.port = port;
        this.threads = threads;
        this.maxContentLength = maxContentLength;
    }

    /**
     * Creates a configuration.
     *
     * @param address where to listen, as {@code ip:port}; port 0 picks a free one
     * @param threads how many threads take calls
     * @param maxContentLength the largest body that is read, in bytes
     */
    static ListenerConfig of(String address, int threads, int maxContentLength) {
        HostAndPort at = HostAndPort.fromString(address);
        return new ListenerConfig(InetAddresses.forString(at.getHost()), at.getPort(), threads, maxContentLength);
    }

    @Override
    public int getPort() {
        return port;
    }

    @Override
    public Optional<Path> getPortFile() {
        return Optional.empty();
    }

    @Override
    public InetAddress getAddress() {
        return address;
    }

    @Override
    public ImmutableSet<ConfigObject<?>> getRequiredConfig() {
        return ImmutableSet.of();
    }

    @Override
    public boolean isDevelopment() {
        return false;
    }

    @Override
    public int getThreads() {
        return threads;
    }

    @Override
    public boolean isRegisterShutdownHook() {
        // A daemon closes its servers itself, in an order of its own.
        return false;
    }

    @Override
    public URI getPublicAddress() {
        return null;
    }

    @Override
    public SSLContext getSslContext() {
        return null;
    }

    @Override
    public SslContext getNettySslContext() {
        return null;
    }

    @Override
    public boolean isRequireClientSslAuth() {
        return false;
    }

    @Override
    public int getMaxContentLength() {
        return maxContentLength;
    }

    @Override
    public Optional<Integer> getConnectTimeoutMillis() {
        return Optional.empty();
    }

    @Override
    public Optional<Integer> getMaxMessagesPerRead() {
        return Optional.empty();
    }

    @Override
    public Optional<Integer> getReceiveBufferSize() {
        return Optional.empty();
    }

    @Override
    public Optional<Integer> getConnectQueueSize() {
        return Optional.empty();
    }

    @Override
    public Optional<Integer> getWriteSpinCount() {
        return Optional.empty();
    }

    @Override
    public boolean isHasBaseDir() {
        return false;
    }

    @Override
    public int getMaxChunkSize() {
        return DEFAULT_MAX_CHUNK_SIZE;
    }

    @Override
    public int getMaxInitialLineLength() {
        return DEFAULT_MAX_INITIAL_LINE_LENGTH;
    }

    @Override
    public int getMaxHeaderSize() {
        return DEFAULT_MAX_HEADER_SIZE;
    }

    @Override
    public Duration getIdleTimeout() {
        return NO_IDLE_TIMEOUT;
    }

    @Override
    public FileSystemBinding getBaseDir() {
        throw new NoBaseDirException("the server reads no files");
    }

    @Override
    public ObjectNode getRootNode() {
        return JsonNodeFactory.instance.objectNode();
    }

    @Override
    public <O> ConfigObject<O> getAsConfigObject(String pointer, TypeToken<O> type) {
        throw new UnsupportedOperationException("the server has no configuration sources; asked for " + pointer);
    }
}
