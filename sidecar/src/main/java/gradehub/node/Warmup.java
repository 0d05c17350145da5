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
 * Warms up the JVM: runs a temporary sidecar on loopback and sends requests through it. The process does this before it
 * listens, so that on its fraction of a core the request path is JIT-compiled before real clients connect.
 */
final class Warmup {

    private static final System.Logger LOG = System.getLogger("gradehub");
    static final int REQUESTS = 1200;
    private static final int REQUESTS_PER_CONNECTION = 20;
    /** The platform's limit on the time from process start to readiness. */
    private static final double READINESS_LIMIT_MS = 10_000;
    /**
     * The fraction of the readiness limit after which the warm-up must have ended. The remainder is for loading the
     * list and binding the listener, which take more than a second on a fifth of a core; the warm-up must not delay
     * readiness. On a fraction of a core the whole warm-up takes seconds, and code that is not compiled by its end is
     * compiled while clients wait, at less than half of their request rate.
     */
    private static final double BUDGET_FRACTION = 0.7;

    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"%1$s","seed":"1","limits":{"sockets":1024},
             "known":{"revision":1,"complete":true,"members":[{"id":"u","host_port":"%1$s","phase":"active"}]},
             "settings":{"lanes":[{"name":"read","hardLimitMs":6000,"idempotency":"retryable"},
               {"name":"write","hardLimitMs":6000,"idempotency":"fragile"}],
              "limits":{"maxAttempts":2,"cancel":true},"report":{"via":"inline","fields":["cpu"]}}}
            """;
    private static final String LIST = "{\"revision\":2,\"complete\":false,\"members\":[]}\n";

    private Warmup() {}

    /** Runs the warm-up within its time budget. A failure is logged and does not prevent the sidecar from starting. */
    static void run() throws InterruptedException {
        try {
            LOG.log(System.Logger.Level.INFO, "warming up with a loopback upstream");
            warmUp(
                    0,
                    deadlineNanos(budgetMs(ManagementFactory.getRuntimeMXBean().getUptime())));
        } catch (IOException | RuntimeException | Config.InvalidConfigException e) {
            LOG.log(System.Logger.Level.WARNING, "warm-up failed", e);
        }
    }

    /** Returns the time left for the warm-up, given the uptime of the process, which includes the start of the JVM. */
    static double budgetMs(double uptimeMs) {
        return Math.max(0, BUDGET_FRACTION * READINESS_LIMIT_MS - uptimeMs);
    }

    private static long deadlineNanos(double budgetMs) {
        return System.nanoTime() + (long) (budgetMs * 1e6);
    }

    /**
     * Sends requests through a temporary sidecar until the deadline, including the start of that sidecar, which takes a
     * large part of the time. A request that is in flight at the deadline is abandoned.
     *
     * @param upstreamMs the delay of each answer of the upstream
     * @param deadlineNanos the deadline as a value of {@link System#nanoTime}
     * @return the number of answered requests
     */
    static int warmUp(long upstreamMs, long deadlineNanos)
            throws IOException, InterruptedException, Config.InvalidConfigException {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread acceptor = new Thread(() -> accept(listener, upstreamMs));
            acceptor.setDaemon(true);
            acceptor.start();
            String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
            Sidecar sidecar = Sidecar.start(Config.parse(Config.JSON.readTree(CONFIG.formatted(address))));
            int answered = sendRequests((InetSocketAddress) sidecar.address(), deadlineNanos);
            sidecar.halt();
            return answered;
        }
    }

    private static int sendRequests(InetSocketAddress address, long deadlineNanos) throws IOException {
        String read = "GET /read HTTP/1.1\r\nX-Txn: %016x\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n";
        String write = "POST /write HTTP/1.1\r\nX-Txn: %016x\r\nX-Lane: write\r\nX-Remaining-Ms: 3000\r\n"
                + "Content-Length: 4\r\n\r\nbody";
        String unknownClass = "GET /unheard-of HTTP/1.1\r\nX-Txn: %016x\r\n\r\n";
        List<String> requests = List.of(read, write, read, unknownClass);
        int answered = 0;
        while (answered < REQUESTS && remainingMs(deadlineNanos) > 0) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                BufferedReader in = reader(socket);
                for (int last = answered + REQUESTS_PER_CONNECTION;
                        answered < last && remainingMs(deadlineNanos) > 0;
                        answered++) {
                    socket.setSoTimeout(Math.max(1, remainingMs(deadlineNanos))); // 0 would mean no timeout
                    write(socket, requests.get(answered % requests.size()).formatted(answered));
                    readHead(in);
                }
            } catch (SocketTimeoutException e) {
                LOG.log(System.Logger.Level.INFO, "warm-up reached its deadline after " + answered + " requests");
            }
        }
        return answered;
    }

    private static int remainingMs(long deadlineNanos) {
        return (int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /** Serves as both the upstream and discovery, depending on the path of the request. */
    private static void accept(ServerSocket listener, long upstreamMs) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread handler = new Thread(() -> serve(socket, upstreamMs));
                handler.setDaemon(true);
                handler.start();
            }
        } catch (IOException e) {
            // The warm-up has ended and closed the listener.
        }
    }

    private static void serve(Socket socket, long upstreamMs) {
        try (socket;
                BufferedReader in = reader(socket)) {
            for (String firstLine = readHead(in); firstLine != null; firstLine = readHead(in)) {
                Thread.sleep(upstreamMs);
                write(
                        socket,
                        firstLine.contains("watch")
                                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n"
                                : "HTTP/1.1 200 OK\r\nX-Pressure: cpu=0.5\r\nContent-Length: 0\r\n\r\n");
            }
        } catch (IOException e) {
            // The sidecar closed the connection.
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

    /** Reads up to the empty line. Returns the first line, or null at the end of the stream. */
    private static String readHead(BufferedReader in) throws IOException {
        String firstLine = in.readLine();
        for (String line = firstLine; line != null && !line.isEmpty(); ) {
            line = in.readLine();
        }
        return firstLine;
    }
}
