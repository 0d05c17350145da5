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
 * The servers that a training run plays to a sidecar on loopback: healthy, unreachable and slow upstreams, and two
 * discovery services. The first discovery service goes through {@link WatchStep}; the second one is always healthy.
 */
final class TrainingPeers implements Closeable {

    /** What an upstream does with a request; the request names it in the second part of its path. */
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

    /** What the first discovery service does with its watches, one after the other; the last one is repeated. */
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
    private static final long LATE_MS = 300;
    private static final long BLANK_LINE_MS = 200;
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final List<Closeable> open = new ArrayList<>();
    private final List<String> upstreams = new ArrayList<>();
    private final String unreachable;
    private final String overfull;
    private final ServerSocket firstDiscovery;
    private final ServerSocket secondDiscovery;
    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final Map<WatchStep, CountDownLatch> reached = new EnumMap<>(WatchStep.class);
    private final CountDownLatch moved = new CountDownLatch(1);
    private int watches;

    TrainingPeers() throws IOException {
        for (WatchStep step : WatchStep.values()) {
            reached.put(step, new CountDownLatch(1));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            ServerSocket upstream = listener();
            upstreams.add(address(upstream));
            accept(upstream, this::serve);
        }
        unreachable = unreachable();
        overfull = overfull();
        firstDiscovery = listener();
        accept(firstDiscovery, this::answerList);
        secondDiscovery = listener();
        accept(secondDiscovery, this::answerSteadily);
    }

    String firstDiscovery() {
        return address(firstDiscovery);
    }

    String secondDiscovery() {
        return address(secondDiscovery);
    }

    /** Waits until the first discovery service has gone through its steps. */
    void awaitSteadyWatch() throws InterruptedException {
        reached.get(WatchStep.STEADY).await();
    }

    /** Waits until the sidecar asks the second discovery service; returns false where it does not. */
    boolean awaitDiscoverySwitch(long longestMs) throws InterruptedException {
        return moved.await(longestMs, TimeUnit.MILLISECONDS);
    }

    // ---- Sockets.

    private interface Conversation {
        void hold(TrainingConnection wire) throws IOException, InterruptedException;
    }

    private ServerSocket listener() throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(listener);
        return listener;
    }

    private static String address(ServerSocket listener) {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** An address that refuses connections. */
    private static String unreachable() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return address(closed);
        }
    }

    /** An address at which connections do not come up: its backlog is full. */
    private String overfull() throws IOException {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        open.add(listener);
        for (int i = 0; i < 2; i++) { // a backlog of one has room for two
            open.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return address(listener);
    }

    private void accept(ServerSocket listener, Conversation conversation) {
        startDaemon(() -> {
            while (true) {
                TrainingConnection wire = new TrainingConnection(listener.accept());
                startDaemon(() -> {
                    try (wire) {
                        conversation.hold(wire);
                    }
                });
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | UncheckedIOException e) {
                // The other side has gone, or the training run is over.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        for (Closeable closeable : open) {
            closeable.close();
        }
    }

    // ---- Upstreams.

    private void serve(TrainingConnection wire) throws IOException, InterruptedException {
        for (TrainingConnection.Message request = wire.read(); request != null; request = wire.read()) {
            String path = request.first().split(" ")[1];
            react(Reaction.valueOf(path.split("/")[2]), request.header("X-Txn"), wire);
        }
    }

    private void react(Reaction reaction, String id, TrainingConnection wire) throws IOException, InterruptedException {
        switch (reaction) {
            case SERVE -> wire.send(served("X-Pressure: rps=1,cpu=0.5\r\nContent-Type: text/plain\r\n"));
            case SERVE_CHUNKED -> wire.send(CHUNKED + "3\r\nabc\r\n0\r\n\r\n");
            case SERVE_UNTIL_CLOSE -> {
                wire.send("HTTP/1.1 200 OK\r\n\r\nabc");
                wire.close();
            }
            case SERVE_AFTER_INTERIM -> wire.send("HTTP/1.1 100 Continue\r\n\r\n" + served("X-Pressure: cpu=x\r\n"));
            case SERVE_AND_CLOSE -> {
                wire.send(served("Connection: close\r\n"));
                wire.close();
            }
            case SERVE_LATE -> sendLate(wire, served(""));
            case SERVE_AND_MORE -> wire.send(served("") + served(""));
            case ERROR -> wire.send("HTTP/1.1 500 Internal Server Error\r\n" + NO_BODY);
            case TURN_AWAY -> wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n" + NO_BODY);
            case TURN_AWAY_LATE -> sendLate(wire, "HTTP/1.1 504 Gateway Timeout\r\nX-Turned-Away: 1\r\n" + NO_BODY);
            case NOT_FOUND -> wire.send("HTTP/1.1 404 Not Found\r\n" + NO_BODY);
            case RESET -> wire.reset();
            case CLOSE -> wire.close();
            case SILENT_AT_FIRST -> {
                if (!seen.add(id)) {
                    wire.send(served(""));
                }
            }
            case SILENT -> {}
            case HALF_ANSWER -> wire.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
            case HALF_HEAD -> wire.send("HTTP/1.1 200 OK\r\nConte");
            case TOO_LONG ->
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + TOO_LONG_BYTES + "\r\n\r\n"
                        + "b".repeat(TOO_LONG_BYTES));
            case NO_HTTP -> wire.send("what is this?\r\n\r\n");
            case NO_COLON -> wire.send("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 3\r\n\r\nabc");
            default -> throw new IllegalStateException(reaction.name());
        }
    }

    private static void sendLate(TrainingConnection wire, String answer) throws IOException, InterruptedException {
        Thread.sleep(LATE_MS);
        wire.send(answer);
    }

    private static String served(String headers) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 3\r\n\r\nabc";
    }

    // ---- Discovery.

    private void answerSteadily(TrainingConnection wire) throws IOException, InterruptedException {
        wire.read();
        moved.countDown();
        watch(wire);
    }

    private void answerList(TrainingConnection wire) throws IOException, InterruptedException {
        TrainingConnection.Message request = wire.read();
        if (request == null) {
            return;
        }
        if (!request.first().contains("watch")) {
            wire.send(withLength(fullList(2)));
            return;
        }
        WatchStep step = nextStep();
        play(step, wire);
        reached.get(step).countDown();
        if (step == WatchStep.STEADY) {
            watch(wire);
        }
    }

    private synchronized WatchStep nextStep() {
        WatchStep[] steps = WatchStep.values();
        return steps[Math.min(watches++, steps.length - 1)];
    }

    private void play(WatchStep step, TrainingConnection wire) throws IOException, InterruptedException {
        switch (step) {
            case LIST_THEN_CHANGES -> changes(wire);
            case UNAVAILABLE -> wire.send("HTTP/1.1 503 Service Unavailable\r\n" + NO_BODY);
            case RESET -> wire.reset();
            case NO_LIST -> wire.send(CHUNKED + chunk("[1, 2]\n"));
            case HALF_LIST -> wire.send(CHUNKED + chunk("{\"revision\":\n\n") + "0\r\n\r\n");
            case NO_MEMBERS -> wire.send(CHUNKED + chunk("{\"revision\":\"x\"}\n"));
            case WHOLE_LIST -> wire.send(withLength(fullList(9)));
            case SILENT -> wire.read();
            case STEADY -> {}
            default -> throw new IllegalStateException(step.name());
        }
    }

    /** Until the other side closes. */
    private void watch(TrainingConnection wire) throws IOException, InterruptedException {
        wire.send(CHUNKED + chunk(fullList(10)));
        while (true) {
            Thread.sleep(BLANK_LINE_MS);
            wire.send(chunk("\n"));
        }
    }

    private void changes(TrainingConnection wire) throws IOException, InterruptedException {
        String last = upstreams.get(UPSTREAMS - 1);
        wire.send(CHUNKED + chunk(fullList(2).replace(",", ",\n  ")));
        List<String> changes = List.of(
                member("u3", last, "leaving", 0),
                member("u3", last, "left", 0),
                member("u3", last, "active", 1),
                member("u3", last, "active", System.currentTimeMillis()),
                member("u3", upstreams.get(0), "active", 1),
                member("u3", last, "active", 0));
        int revision = 3;
        for (String change : changes) {
            wire.send(chunk("\n"));
            Thread.sleep(BLANK_LINE_MS);
            wire.send(chunk(list(revision++, false, List.of(change))));
        }
        wire.send("0\r\n\r\n");
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
