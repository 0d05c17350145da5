package gradehub.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Serves some requests on loopback and ends. A sidecar does so before it listens, on its part of a core: the code that
 * serves is compiled by then, and the first clients need not wait for that.
 */
final class Warmup {

    private static final System.Logger LOG = System.getLogger("gradehub");
    static final int REQUESTS = 1200;
    private static final int ON_EACH = 20; // connection
    /** The platform's time from the start of a process until it has to be ready. */
    private static final double READY_MS = 10_000;
    /**
     * The part of it that is over when a rehearsal ends: the rest is for the list and the listener, which take more
     * than a second on a fifth of a core. It is a help, and not worth a late start. But a part of a core takes seconds
     * for all of it, and what is not compiled by then is compiled while clients wait, at less than half the rate that
     * they ask at.
     */
    private static final double REHEARSED_PART = 0.7;

    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"%1$s","seed":"1","limits":{"sockets":1024},
             "known":{"revision":1,"complete":true,"members":[{"id":"u","host_port":"%1$s","phase":"active"}]},
             "settings":{"lanes":[{"name":"read","hardLimitMs":6000,"idempotency":"retryable"},
               {"name":"write","hardLimitMs":6000,"idempotency":"fragile"}],
              "limits":{"maxAttempts":2,"cancel":true},"report":{"via":"inline","fields":["cpu"]}}}
            """;
    private static final String LIST = "{\"revision\":2,\"complete\":false,\"members\":[]}\n";

    private Warmup() {}

    /** Whatever goes wrong in it must not keep a sidecar from starting, and its slowness no more than is allowed. */
    static void run() throws InterruptedException {
        try {
            LOG.log(System.Logger.Level.INFO, "rehearsing with an upstream of its own");
            warmUp(0, endNanos(budgetMs(ManagementFactory.getRuntimeMXBean().getUptime())));
        } catch (IOException | RuntimeException | Config.InvalidConfigException e) {
            LOG.log(System.Logger.Level.WARNING, "the rehearsal failed", e);
        }
    }

    /** How long a rehearsal may take in a process that has run for this long: the virtual machine's start counts. */
    static double budgetMs(double uptimeMs) {
        return Math.max(0, REHEARSED_PART * READY_MS - uptimeMs);
    }

    private static long endNanos(double longestMs) {
        return System.nanoTime() + (long) (longestMs * 1e6);
    }

    /**
     * With an upstream that takes this long for each answer, up to this time of {@link System#nanoTime}, whatever takes
     * it up: the sidecar's own start is a good part of it. Returns how many requests have been answered; one that is
     * under way at the end is not waited for.
     */
    static int warmUp(long upstreamMs, long endNanos)
            throws IOException, InterruptedException, Config.InvalidConfigException {
        try (ServerSocket others = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread accepting = new Thread(() -> accept(others, upstreamMs));
            accepting.setDaemon(true);
            accepting.start();
            String address = others.getInetAddress().getHostAddress() + ":" + others.getLocalPort();
            Sidecar sidecar = Sidecar.start(Config.parse(Config.JSON.readTree(CONFIG.formatted(address))));
            int answered = ask((InetSocketAddress) sidecar.address(), endNanos);
            sidecar.halt();
            return answered;
        }
    }

    private static int ask(InetSocketAddress address, long endNanos) throws IOException {
        String read = "GET /read HTTP/1.1\r\nX-Txn: %016x\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n";
        String write = "POST /write HTTP/1.1\r\nX-Txn: %016x\r\nX-Lane: write\r\nX-Remaining-Ms: 3000\r\n"
                + "Content-Length: 4\r\n\r\nbody";
        String unheardOf = "GET /unheard-of HTTP/1.1\r\nX-Txn: %016x\r\n\r\n";
        List<String> requests = List.of(read, write, read, unheardOf);
        int answered = 0;
        while (answered < REQUESTS && leftMs(endNanos) > 0) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                BufferedReader in = reader(socket);
                for (int last = answered + ON_EACH; answered < last && leftMs(endNanos) > 0; answered++) {
                    socket.setSoTimeout(Math.max(1, leftMs(endNanos))); // 0 would be without end
                    write(socket, requests.get(answered % requests.size()).formatted(answered));
                    readHead(in);
                }
            } catch (SocketTimeoutException e) {
                LOG.log(System.Logger.Level.INFO, "no time left to rehearse after " + answered + " requests");
            }
        }
        return answered;
    }

    private static int leftMs(long endNanos) {
        return (int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, endNanos - System.nanoTime()));
    }

    /** Plays the upstream and discovery, by what is asked for. */
    private static void accept(ServerSocket others, long upstreamMs) {
        try {
            while (true) {
                Socket socket = others.accept();
                Thread serving = new Thread(() -> serve(socket, upstreamMs));
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException e) {
            // The rehearsal is over.
        }
    }

    private static void serve(Socket socket, long upstreamMs) {
        try (socket;
                BufferedReader in = reader(socket)) {
            for (String first = readHead(in); first != null; first = readHead(in)) {
                Thread.sleep(upstreamMs);
                write(
                        socket,
                        first.contains("watch")
                                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n"
                                : "HTTP/1.1 200 OK\r\nX-Pressure: cpu=0.5\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException e) {
            // The sidecar has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Reads up to the empty line; the first line, or null where the connection has ended. */
    private static String readHead(BufferedReader in) throws IOException {
        String first = in.readLine();
        for (String line = first; line != null && !line.isEmpty(); ) {
            line = in.readLine();
        }
        return first;
    }
}
