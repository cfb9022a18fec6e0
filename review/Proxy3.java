package third;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A loopback proxy whose open channels can fall silent for good, or be reset, while new ones work. */
final class Proxy3 {
    private final class Channel {
        final Socket client;
        final Socket server;
        volatile boolean silent;

        Channel(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }
    }

    private final ServerSocket listener;
    private final int target;
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();

    Proxy3(int target) throws Exception {
        this.target = target;
        listener = new ServerSocket(0, 512, InetAddress.getByName(Web.IP));
        thread(this::accept);
    }

    String address() {
        return Web.IP + ":" + listener.getLocalPort();
    }

    private static void thread(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket c = listener.accept();
                c.setTcpNoDelay(true);
                Socket s = new Socket();
                s.setTcpNoDelay(true);
                s.connect(new InetSocketAddress(Web.IP, target), 1_000);
                Channel ch = new Channel(c, s);
                open.add(ch);
                thread(() -> copy(ch, c, s));
                thread(() -> copy(ch, s, c));
            } catch (Exception e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void copy(Channel ch, Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int n;
            while ((n = in.read(buffer)) >= 0) {
                if (!ch.silent) {
                    out.write(buffer, 0, n);
                }
            }
        } catch (Exception e) {
            // One side has gone.
        }
        if (ch.silent && from == ch.server) {
            return;
        }
        open.remove(ch);
        close(from);
        close(to);
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (Exception e) {
            // It is closed already.
        }
    }

    /** Makes all open channels silent for good; returns their number. */
    int silence() {
        int n = 0;
        for (Channel c : open) {
            c.silent = true;
            n++;
        }
        return n;
    }

    /** Resets all open channels; returns their number. */
    int reset() throws Exception {
        int n = 0;
        for (Channel c : open) {
            c.client.setSoLinger(true, 0);
            close(c.client);
            close(c.server);
            open.remove(c);
            n++;
        }
        return n;
    }
}
