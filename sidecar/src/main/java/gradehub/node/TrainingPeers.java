package gradehub.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The servers of a training run on loopback: healthy, faulty, slow and unreachable upstreams, and two discovery
 * services. The first discovery service goes through the steps of {@link WatchStep}; the second is always healthy.
 */
final class TrainingPeers implements Closeable {

    /** How an upstream responds to a request; the request names the reaction in the second segment of its path. */
    enum Reaction {
        SERVE,
        SERVE_CHUNKED,
        SERVE_UNTIL_CLOSE,
        SERVE_AFTER_INTERIM,
        SERVE_AND_CLOSE,
        SERVE_LATE,
        SERVE_AND_MORE,
        ERROR,
        TURN_AWAY,
        TURN_AWAY_LATE,
        NOT_FOUND,
        RESET,
        CLOSE,
        SILENT_AT_FIRST,
        SILENT,
        HALF_ANSWER,
        HALF_HEAD,
        TOO_LONG,
        NO_HTTP,
        NO_COLON
    }

    /** How the first discovery service handles successive watch requests; the last step is repeated. */
    enum WatchStep {
        LIST_THEN_CHANGES,
        UNAVAILABLE,
        RESET,
        NO_LIST,
        HALF_LIST,
        NO_MEMBERS,
        WHOLE_LIST,
        SILENT,
        STEADY
    }

    private static final int UPSTREAMS = 4;
    private static final int TOO_LONG_BYTES = 1 << 17;
    private static final long LATE_ANSWER_DELAY_MS = 300;
    private static final long BLANK_LINE_INTERVAL_MS = 200;
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final List<Closeable> openSockets = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final String unreachable;
    private final String overfull;
    private final ServerSocket firstDiscovery;
    private final ServerSocket secondDiscovery;
    private final Set<String> seenIds = ConcurrentHashMap.newKeySet();
    private final Map<WatchStep, CountDownLatch> stepReached = new EnumMap<>(WatchStep.class);
    private final CountDownLatch switched = new CountDownLatch(1);
    private int watchCount;

    TrainingPeers() throws IOException {
        for (WatchStep step : WatchStep.values()) {
            stepReached.put(step, new CountDownLatch(1));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            ServerSocket upstream = listener();
            upstreams.add(address(upstream));
            accept(upstream, this::serveUpstream);
        }
        unreachable = unreachable();
        overfull = overfull();
        firstDiscovery = listener();
        accept(firstDiscovery, this::serveFirstDiscovery);
        secondDiscovery = listener();
        accept(secondDiscovery, this::serveSecondDiscovery);
    }

    String firstDiscovery() {
        return address(firstDiscovery);
    }

    String secondDiscovery() {
        return address(secondDiscovery);
    }

    /** Waits until the first discovery service has reached its last step. */
    void awaitSteadyWatch() throws InterruptedException {
        stepReached.get(WatchStep.STEADY).await();
    }

    /** Waits until the sidecar connects to the second discovery service. Returns false on timeout. */
    boolean awaitDiscoverySwitch(long timeoutMs) throws InterruptedException {
        return switched.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    // ---- Sockets.

    private interface ConnectionHandler {
        void handle(TrainingConnection connection) throws IOException, InterruptedException;
    }

    private ServerSocket listener() throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        openSockets.add(listener);
        return listener;
    }

    private static String address(ServerSocket listener) {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns an address that refuses connections. */
    private static String unreachable() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return address(closed);
        }
    }

    /** Returns an address at which connection attempts time out, because its accept backlog is full. */
    private String overfull() throws IOException {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        openSockets.add(listener);
        for (int i = 0; i < 2; i++) { // Linux queues backlog + 1 = 2 connections
            openSockets.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return address(listener);
    }

    private void accept(ServerSocket listener, ConnectionHandler handler) {
        startDaemon(() -> {
            while (true) {
                TrainingConnection connection = new TrainingConnection(listener.accept());
                startDaemon(() -> {
                    try (connection) {
                        handler.handle(connection);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | UncheckedIOException e) {
                // The peer closed the connection, or the training run has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        for (Closeable closeable : openSockets) {
            closeable.close();
        }
    }

    // ---- Upstreams.

    private void serveUpstream(TrainingConnection connection) throws IOException, InterruptedException {
        for (TrainingConnection.Message request = connection.read(); request != null; request = connection.read()) {
            String path = request.firstLine().split(" ")[1];
            respond(Reaction.valueOf(path.split("/")[2]), request.header("X-Txn"), connection);
        }
    }

    private void respond(Reaction reaction, String id, TrainingConnection connection)
            throws IOException, InterruptedException {
        switch (reaction) {
            case SERVE -> connection.send(okAnswer("X-Pressure: rps=1,cpu=0.5\r\nContent-Type: text/plain\r\n"));
            case SERVE_CHUNKED -> connection.send(CHUNKED + "3\r\nabc\r\n0\r\n\r\n");
            case SERVE_UNTIL_CLOSE -> {
                connection.send("HTTP/1.1 200 OK\r\n\r\nabc");
                connection.close();
            }
            case SERVE_AFTER_INTERIM ->
                connection.send("HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("X-Pressure: cpu=x\r\n"));
            case SERVE_AND_CLOSE -> {
                connection.send(okAnswer("Connection: close\r\n"));
                connection.close();
            }
            case SERVE_LATE -> sendLate(connection, okAnswer(""));
            case SERVE_AND_MORE -> connection.send(okAnswer("") + okAnswer(""));
            case ERROR -> connection.send("HTTP/1.1 500 Internal Server Error\r\n" + NO_BODY);
            case TURN_AWAY -> connection.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n" + NO_BODY);
            case TURN_AWAY_LATE ->
                sendLate(connection, "HTTP/1.1 504 Gateway Timeout\r\nX-Turned-Away: 1\r\n" + NO_BODY);
            case NOT_FOUND -> connection.send("HTTP/1.1 404 Not Found\r\n" + NO_BODY);
            case RESET -> connection.reset();
            case CLOSE -> connection.close();
            case SILENT_AT_FIRST -> {
                if (!seenIds.add(id)) {
                    connection.send(okAnswer(""));
                }
            }
            case SILENT -> {}
            case HALF_ANSWER -> connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
            case HALF_HEAD -> connection.send("HTTP/1.1 200 OK\r\nConte");
            case TOO_LONG ->
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + TOO_LONG_BYTES + "\r\n\r\n"
                        + "b".repeat(TOO_LONG_BYTES));
            case NO_HTTP -> connection.send("what is this?\r\n\r\n");
            case NO_COLON -> connection.send("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nabc");
            default -> throw new IllegalStateException(reaction.name());
        }
    }

    private static void sendLate(TrainingConnection connection, String answer)
            throws IOException, InterruptedException {
        Thread.sleep(LATE_ANSWER_DELAY_MS);
        connection.send(answer);
    }

    private static String okAnswer(String headers) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 3\r\n\r\nabc";
    }

    // ---- Discovery.

    private void serveSecondDiscovery(TrainingConnection connection) throws IOException, InterruptedException {
        connection.read();
        switched.countDown();
        sendListAndBlankLines(connection);
    }

    private void serveFirstDiscovery(TrainingConnection connection) throws IOException, InterruptedException {
        TrainingConnection.Message request = connection.read();
        if (request == null) {
            return;
        }
        if (!request.firstLine().contains("watch")) {
            connection.send(withLength(fullList(2)));
            return;
        }
        WatchStep step = nextStep();
        performStep(step, connection);
        stepReached.get(step).countDown();
        if (step == WatchStep.STEADY) {
            sendListAndBlankLines(connection);
        }
    }

    private synchronized WatchStep nextStep() {
        WatchStep[] steps = WatchStep.values();
        return steps[Math.min(watchCount++, steps.length - 1)];
    }

    private void performStep(WatchStep step, TrainingConnection connection) throws IOException, InterruptedException {
        switch (step) {
            case LIST_THEN_CHANGES -> sendChanges(connection);
            case UNAVAILABLE -> connection.send("HTTP/1.1 503 Service Unavailable\r\n" + NO_BODY);
            case RESET -> connection.reset();
            case NO_LIST -> connection.send(CHUNKED + chunk("[1, 2]\n"));
            case HALF_LIST -> connection.send(CHUNKED + chunk("{\"revision\":\n\n") + "0\r\n\r\n");
            case NO_MEMBERS -> connection.send(CHUNKED + chunk("{\"revision\":\"x\"}\n"));
            case WHOLE_LIST -> connection.send(withLength(fullList(9)));
            case SILENT -> connection.read();
            case STEADY -> {}
            default -> throw new IllegalStateException(step.name());
        }
    }

    /** Sends the list and then blank lines until the peer closes the connection. */
    private void sendListAndBlankLines(TrainingConnection connection) throws IOException, InterruptedException {
        connection.send(CHUNKED + chunk(fullList(10)));
        while (true) {
            Thread.sleep(BLANK_LINE_INTERVAL_MS);
            connection.send(chunk("\n"));
        }
    }

    private void sendChanges(TrainingConnection connection) throws IOException, InterruptedException {
        String last = upstreams.get(UPSTREAMS - 1);
        connection.send(CHUNKED + chunk(fullList(2).replace(",", ",\n  ")));
        List<String> changes = List.of(
                member("u3", last, "leaving", 0),
                member("u3", last, "left", 0),
                member("u3", last, "active", 1),
                member("u3", last, "active", System.currentTimeMillis()),
                member("u3", upstreams.get(0), "active", 1),
                member("u3", last, "active", 0));
        int revision = 3;
        for (String change : changes) {
            connection.send(chunk("\n"));
            Thread.sleep(BLANK_LINE_INTERVAL_MS);
            connection.send(chunk(list(revision++, false, List.of(change))));
        }
        connection.send("0\r\n\r\n");
    }

    private String fullList(int revision) {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            members.add(member("u" + i, upstreams.get(i), "active", 0));
        }
        members.add(member("unreachable", unreachable, "active", 0));
        members.add(member("overfull", overfull, "active", 0));
        return list(revision, true, members);
    }

    private static String list(int revision, boolean complete, List<String> members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members)
                + "]}\n";
    }

    private static String member(String id, String address, String phase, long startedMs) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"k\","
                + "\"cell\":1,\"phase\":\"" + phase + "\",\"size\":1.5,\"up_since_ms\":" + startedMs + "}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String withLength(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
