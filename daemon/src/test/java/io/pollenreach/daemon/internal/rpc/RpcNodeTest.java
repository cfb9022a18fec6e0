package io.pollenreach.daemon.internal.rpc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.Ack;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.JobChanged;
import io.pollenreach.internal.wire.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

class RpcNodeTest {
    private static final long LONG_MS = 20_000;
    private static final long SHORT_MS = 500;

    private final List<AutoCloseable> open = new ArrayList<>();

    private RpcNode node(RpcHandler handler) {
        RpcNode node = RpcNode.start("127.0.0.1:0", handler, Clock.system(), 1);
        open.add(node);
        return node;
    }

    private RpcNode echo() {
        return node(CompletableFuture::completedFuture);
    }

    @AfterEach
    void closeAll() throws Exception {
        Collections.reverse(open);
        for (AutoCloseable c : open) {
            c.close();
        }
    }

    private static Message await(CompletableFuture<Message> future) throws Exception {
        return future.get(LONG_MS, TimeUnit.MILLISECONDS);
    }

    private static ResultCode codeOf(CompletableFuture<?> future) {
        Throwable t = catchThrowable(() -> future.get(LONG_MS, TimeUnit.MILLISECONDS));
        return PollenreachException.of(t.getCause()).code();
    }

    private Socket raw(RpcNode to) throws IOException {
        HostAndPort at = HostAndPort.fromString(to.address());
        Socket socket = new Socket(at.getHost(), at.getPort());
        socket.setSoTimeout((int) LONG_MS);
        open.add(socket);
        return socket;
    }

    private static byte[] framed(byte[] body) {
        return ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private void assertClosedAfter(byte[] sent) throws Exception {
        RpcNode server = echo();
        Socket socket = raw(server);
        socket.getOutputStream().write(sent);
        int read;
        try {
            read = socket.getInputStream().read();
        } catch (IOException reset) {
            read = -1;
        }
        assertThat(read).isEqualTo(-1);
        assertThat(await(echo().call(server.address(), new Ack(), LONG_MS))).isEqualTo(new Ack());
    }

    @Test
    void matchesTenThousandAnswersThatComeOutOfOrder() throws Exception {
        ConcurrentLinkedQueue<Runnable> later = new ConcurrentLinkedQueue<>();
        RpcNode server = node(m -> {
            CompletableFuture<Message> answer = new CompletableFuture<>();
            later.add(() -> answer.complete(m));
            return answer;
        });
        RpcNode client = echo();
        List<CompletableFuture<Message>> calls = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            calls.add(client.call(server.address(), new JobChanged("job-" + i), LONG_MS));
        }
        List<Runnable> answers = new ArrayList<>();
        while (answers.size() < calls.size()) {
            Runnable next = later.poll();
            if (next != null) {
                answers.add(next);
            }
        }
        Collections.shuffle(answers, new Random(7));
        answers.forEach(Runnable::run);
        for (int i = 0; i < calls.size(); i++) {
            assertThat(await(calls.get(i))).isEqualTo(new JobChanged("job-" + i));
        }
    }

    @Test
    void carriesBinaryBodiesUnchanged() throws Exception {
        byte[] body = new byte[1 << 20];
        new Random(11).nextBytes(body);
        Execute sent = new Execute("r1", "shop-a", true, "POST", "/scan", "image/png", body, 500);
        Message got = await(echo().call(echo().address(), sent, LONG_MS));
        assertThat(((Execute) got).body()).isEqualTo(body);
    }

    @Test
    void failureAnswerKeepsItsCode() {
        RpcNode server = node(m -> CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.STALE_ATTEMPT, "id", "attempt 1 is older than 2")));
        assertThat(codeOf(echo().call(server.address(), new Ack(), LONG_MS))).isEqualTo(ResultCode.STALE_ATTEMPT);
    }

    @Test
    void handlerThatThrowsAnswersInternal() {
        RpcNode server = node(m -> {
            throw new IllegalStateException("broken");
        });
        assertThat(codeOf(echo().call(server.address(), new Ack(), LONG_MS))).isEqualTo(ResultCode.INTERNAL);
    }

    @Test
    void slowPeerFailsWithTimeoutAndStaysUsable() throws Exception {
        CompletableFuture<Message> never = new CompletableFuture<>();
        RpcNode server = node(m -> m instanceof JobChanged ? never : CompletableFuture.completedFuture(m));
        RpcNode client = echo();
        await(client.call(server.address(), new Ack(), LONG_MS));
        for (int i = 0; i < 4; i++) {
            assertThat(codeOf(client.call(server.address(), new JobChanged("j"), SHORT_MS)))
                    .isEqualTo(ResultCode.PEER_TIMEOUT);
        }
        assertThat(await(client.call(server.address(), new Ack(), LONG_MS))).isEqualTo(new Ack());
    }

    @Test
    void silentConnectionIsReplacedAfterRepeatedTimeouts() throws Exception {
        try (ServerSocket silent = new ServerSocket()) {
            silent.bind(new InetSocketAddress("127.0.0.1", 0));
            silent.setSoTimeout((int) LONG_MS);
            String address = "127.0.0.1:" + silent.getLocalPort();
            RpcNode client = echo();
            await(client.call(echo().address(), new Ack(), LONG_MS));
            for (int i = 0; i < 3; i++) {
                assertThat(codeOf(client.call(address, new Ack(), SHORT_MS))).isEqualTo(ResultCode.PEER_TIMEOUT);
            }
            open.add(silent.accept());
            open.add(silent.accept());
        }
    }

    @Test
    void refusedConnectFailsAsUnreachable() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0)) {
            port = unused.getLocalPort();
        }
        assertThat(codeOf(echo().call("127.0.0.1:" + port, new Ack(), LONG_MS))).isEqualTo(ResultCode.PEER_UNREACHABLE);
    }

    @Test
    void malformedAddressFailsAsUnreachable() {
        assertThat(codeOf(echo().call("nowhere", new Ack(), LONG_MS))).isEqualTo(ResultCode.PEER_UNREACHABLE);
    }

    @Test
    void brokenConnectionFailsPendingCallsAsTimeout() throws Exception {
        try (ServerSocket peer = new ServerSocket()) {
            peer.bind(new InetSocketAddress("127.0.0.1", 0));
            CompletableFuture<Message> call = echo().call("127.0.0.1:" + peer.getLocalPort(), new Ack(), LONG_MS);
            try (Socket accepted = peer.accept()) {
                assertThat(accepted.getInputStream().read()).isZero();
            }
            assertThat(codeOf(call)).isEqualTo(ResultCode.PEER_TIMEOUT);
        }
    }

    @Test
    void closingFailsPendingCalls() {
        RpcNode server = node(m -> new CompletableFuture<>());
        RpcNode client = echo();
        CompletableFuture<Message> call = client.call(server.address(), new Ack(), LONG_MS);
        client.close();
        assertThat(codeOf(call)).isIn(ResultCode.PEER_TIMEOUT, ResultCode.PEER_UNREACHABLE);
        assertThat(codeOf(client.call(server.address(), new Ack(), LONG_MS))).isEqualTo(ResultCode.PEER_UNREACHABLE);
    }

    @Test
    void oversizedCallFailsBeforeItIsSent() throws Exception {
        byte[] body = new byte[EnvelopeCodec.MAX_FRAME_BYTES];
        Execute big = new Execute("r1", "shop-a", true, "POST", "/scan", "", body, 500);
        RpcNode server = echo();
        RpcNode client = echo();
        assertThat(codeOf(client.call(server.address(), big, LONG_MS))).isEqualTo(ResultCode.TOO_LARGE);
        assertThat(await(client.call(server.address(), new Ack(), LONG_MS))).isEqualTo(new Ack());
    }

    @Test
    void oversizedFrameClosesTheConnection() throws Exception {
        assertClosedAfter(
                ByteBuffer.allocate(4).putInt(EnvelopeCodec.MAX_FRAME_BYTES + 1).array());
    }

    @Test
    void negativeLengthClosesTheConnection() throws Exception {
        assertClosedAfter(ByteBuffer.allocate(4).putInt(-1).array());
    }

    @Test
    void wrongVersionClosesTheConnection() throws Exception {
        byte[] good = EnvelopeCodec.encode(new Envelope(2, 1, 0, new Ack()));
        assertThat(catchThrowable(() -> EnvelopeCodec.decode(good)))
                .extracting(t -> PollenreachException.of(t).code())
                .isEqualTo(ResultCode.WRONG_WIRE_VERSION);
        assertClosedAfter(framed(good));
    }

    @Test
    void answerThatNobodyAskedForClosesTheConnection() throws Exception {
        assertClosedAfter(framed(EnvelopeCodec.encode(Envelope.answer(1, new Ack()))));
    }

    @Test
    void garbageFramesCloseTheConnection() throws Exception {
        assertClosedAfter(framed("not a message".getBytes(StandardCharsets.UTF_8)));
        assertClosedAfter(framed(new byte[0]));
    }

    @Test
    void hugeDeclaredLengthInsideAFrameIsABadFrame() {
        byte[] bin32 = {(byte) 0x81, (byte) 0xa1, 'v', (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        assertThat(catchThrowable(() -> EnvelopeCodec.decode(bin32)))
                .extracting(t -> PollenreachException.of(t).code())
                .isEqualTo(ResultCode.BAD_FRAME);
    }

    @Test
    void randomBytesNeverEscapeAsAnotherError() {
        Random random = new Random(13);
        byte[] good = EnvelopeCodec.encode(Envelope.call(5, new JobChanged("shop-a/cut-17")));
        for (int i = 0; i < 5_000; i++) {
            byte[] bytes = good.clone();
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            Throwable t = catchThrowable(() -> EnvelopeCodec.decode(bytes));
            if (t != null) {
                assertThat(t).isInstanceOf(PollenreachException.class);
            }
        }
    }

    @Test
    void cutFrameLeavesTheNodeServing() throws Exception {
        RpcNode server = echo();
        try (Socket socket = raw(server)) {
            socket.getOutputStream().write(new byte[] {0, 0, 1, 0, 42});
        }
        assertThat(await(echo().call(server.address(), new Ack(), LONG_MS))).isEqualTo(new Ack());
    }
}
