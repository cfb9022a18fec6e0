package io.pollenreach.bench.link;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

@Timeout(20)
class FaultyLinkTest {
    private static final int SILENCE_MS = 200;

    private ServerSocket server;
    private FaultyLink link;
    private Socket client;
    private Socket accepted;

    @BeforeEach
    void connect() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        link = new FaultyLink("127.0.0.1:" + server.getLocalPort(), 7);
        client = open();
        accepted = server.accept();
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        accepted.close();
        link.close();
        server.close();
    }

    @Test
    void relaysBothWaysInOrderUnderJitter() throws IOException {
        link.set(LinkFaults.delay(1, 5));
        for (int i = 0; i < 50; i++) {
            client.getOutputStream().write(i);
        }
        for (int i = 0; i < 50; i++) {
            assertThat(accepted.getInputStream().read()).isEqualTo(i);
        }
        accepted.getOutputStream().write(99);
        assertThat(client.getInputStream().read()).isEqualTo(99);
    }

    @Test
    void freezeHoldsDataBackUntilTheThaw() throws IOException {
        link.set(LinkFaults.freeze());
        client.getOutputStream().write(5);
        accepted.setSoTimeout(SILENCE_MS);
        InputStream in = accepted.getInputStream();
        assertThatThrownBy(in::read).isInstanceOf(SocketTimeoutException.class);
        accepted.setSoTimeout(0);
        link.set(LinkFaults.NONE);
        assertThat(in.read()).isEqualTo(5);
    }

    @Test
    void cutClosesWhatStandsAndRefusesNewConnections() throws IOException {
        link.set(LinkFaults.cutOff());
        assertThat(ended(client)).isTrue();
        try (Socket second = open()) {
            assertThat(ended(second)).isTrue();
        }
    }

    @Test
    void connectionIsClosedAfterTheGivenBytes() throws IOException {
        link.set(LinkFaults.dropAfter(10));
        client.getOutputStream().write(new byte[64]);
        assertThat(accepted.getInputStream().readNBytes(64)).hasSize(10);
        assertThat(ended(client)).isTrue();
    }

    private Socket open() throws IOException {
        String[] at = link.address().split(":");
        return new Socket(at[0], Integer.parseInt(at[1]));
    }

    private static boolean ended(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() == -1;
        } catch (IOException reset) {
            return true;
        }
    }
}
