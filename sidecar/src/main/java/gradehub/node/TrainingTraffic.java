package gradehub.node;

import gradehub.node.TrainingPeers.Reaction;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** The clients of a training run: valid and invalid requests, early disconnects and many concurrent requests. */
final class TrainingTraffic {

    /** Enough concurrent requests to fill the windows of the upstreams and to reach the limits on client requests. */
    private static final int CONCURRENT_REQUESTS = 90;

    private static final int SEQUENTIAL_REQUESTS = 60;
    private static final List<String> REQUEST_CLASSES = List.of("read", "write", "keyed", "zoned", "celled");
    private static final List<String> INVALID_HEADERS = List.of(
            "Content-Length: 9",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked",
            "Transfer-Encoding : chunked",
            "no colon",
            "X-Lane: read",
            "Expect: a miracle",
            "X-Estimate: -5",
            "X-Estimate: ten",
            "Content-Length: -4");

    private final InetSocketAddress sidecar;
    private final AtomicInteger lastRequestId = new AtomicInteger();
    private final Set<Integer> statuses = new ConcurrentSkipListSet<>();

    TrainingTraffic(InetSocketAddress sidecar) {
        this.sidecar = sidecar;
    }

    /** Runs every kind of exchange and returns the statuses of the answers received. */
    Set<Integer> runTraffic() throws IOException, InterruptedException, ExecutionException {
        sendSequentially();
        sendDuplicateIdentifier();
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            List<Future<Void>> running = new ArrayList<>();
            for (Callable<Void> exchange : faultyExchanges()) {
                running.add(clients.submit(exchange));
            }
            awaitAll(running);
            for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
                running.add(clients.submit(
                        exchangeRequest(REQUEST_CLASSES.get(i % REQUEST_CLASSES.size()), Reaction.SERVE_LATE)));
            }
            awaitAll(running);
        } finally {
            clients.shutdownNow();
        }
        sendSequentially();
        return statuses;
    }

    private static void awaitAll(List<Future<Void>> running) throws InterruptedException, ExecutionException {
        for (Future<Void> exchange : running) {
            exchange.get();
        }
    }

    private void sendSequentially() throws IOException {
        try (TrainingConnection connection = connect()) {
            for (int i = 0; i < SEQUENTIAL_REQUESTS; i++) {
                connection.send(request(
                        REQUEST_CLASSES.get(i % REQUEST_CLASSES.size()), Reaction.SERVE, "X-Estimate: 900\r\n"));
                TrainingConnection.Message answer = connection.read();
                if (answer == null) {
                    return; // the sidecar may close an idle connection
                }
                statuses.add(answer.status());
            }
        }
    }

    /** Sends a second request with the same identifier while the first one is in flight. */
    private void sendDuplicateIdentifier() throws IOException {
        try (TrainingConnection connection = connect()) {
            connection.send(request("read", Reaction.SERVE_LATE, "").repeat(2));
            for (int i = 0; i < 2; i++) {
                recordStatus(connection.read());
            }
        }
    }

    /** Records the status of an answer, if there is one. Returns false for an interim (1xx) answer, otherwise true. */
    private boolean recordStatus(TrainingConnection.Message answer) {
        if (answer != null) {
            statuses.add(answer.status());
        }
        return answer == null || answer.status() >= 200;
    }

    private List<Callable<Void>> faultyExchanges() {
        List<Callable<Void>> exchanges = new ArrayList<>();
        for (Reaction reaction : Reaction.values()) {
            REQUEST_CLASSES.forEach(requestClass -> exchanges.add(exchangeRequest(requestClass, reaction)));
        }
        for (String header : INVALID_HEADERS) {
            exchanges.add(exchange(request("write", Reaction.SERVE, header + "\r\n")));
        }
        exchanges.add(exchange("GET /ready HTTP/1.1\r\n\r\n"));
        exchanges.add(exchange("GET /ready HTTP/1.0\r\n\r\n"));
        exchanges.add(exchange("no HTTP at all\r\n\r\n"));
        exchanges.add(exchange(request("unknown", Reaction.SERVE, "")));
        exchanges.add(exchange(request("read", Reaction.SERVE, "").replace("GET", "POST")));
        exchanges.add(exchange(request("read", Reaction.SERVE, "Connection: X-Private\r\nX-Private: 1\r\n")));
        exchanges.add(exchange(request("read", Reaction.SERVE, "X-Resent: 1\r\nX-Org: t1\r\n")));
        exchanges.add(exchange(request("read", Reaction.SERVE, "").replace("X-Txn: 0", "X-Txn: z")));
        exchanges.add(exchange(request("read", Reaction.SILENT, "").replace("Ms: 2000", "Ms: 200")));
        exchanges.add(exchange(request("write", Reaction.SERVE, "Expect: 100-continue\r\n")));
        exchanges.add(exchange(request("write", Reaction.SERVE, "").replace("Length: 4", "Length: 60000000")));
        exchanges.add(exchange(request("write", Reaction.SERVE, "")
                .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                .replace("body", "4\r\nbody\r\n0\r\n\r\n")));
        exchanges.add(exchange(request("write", Reaction.SERVE, "")
                .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                .replace("body", "11000\r\n" + "b".repeat(0x11000) + "\r\n")));
        exchanges.add(exchange("GET /read HTTP/1.1\r\n" + "X-Pad: pppppppp\r\n".repeat(1000) + "\r\n"));
        exchanges.add(exchange("GET /" + "x".repeat(10_000) + " HTTP/1.1\r\n\r\n"));
        exchanges.add(exchange(request("read", Reaction.SERVE, "").repeat(20)));
        exchanges.add(exchange("GET /read HTTP/1.1\r\nX-T"));
        exchanges.add(exchange(request("write", Reaction.SERVE, "").replace("Length: 4", "Length: 9")));
        exchanges.add(exchange(""));
        exchanges.add(this::halfCloseAfterRequest);
        exchanges.add(this::resetAfterRequest);
        exchanges.add(this::resetWithinHeaders);
        return exchanges;
    }

    private Callable<Void> exchangeRequest(String requestClass, Reaction reaction) {
        return exchange(request(requestClass, reaction, ""));
    }

    /** Sends the text on a new connection and reads up to the final answer or the end of the stream. */
    private Callable<Void> exchange(String text) {
        return () -> {
            try (TrainingConnection connection = connect()) {
                connection.send(text);
                while (!recordStatus(connection.read())) {
                    // Skip interim answers.
                }
            } catch (IOException e) {
                // The sidecar may close the connection of a faulty client.
            }
            return null;
        };
    }

    private Void halfCloseAfterRequest() throws IOException {
        try (TrainingConnection connection = connect()) {
            connection.send(request("read", Reaction.SILENT, ""));
            connection.endOutput();
            connection.read();
        }
        return null;
    }

    private Void resetAfterRequest() throws IOException {
        try (TrainingConnection connection = connect()) {
            connection.send(request("read", Reaction.SERVE_LATE, ""));
            connection.reset();
        }
        return null;
    }

    private Void resetWithinHeaders() throws IOException {
        try (TrainingConnection connection = connect()) {
            connection.send("GET /read HTTP/1.1\r\nX-Txn: 00");
            connection.reset();
        }
        return null;
    }

    private TrainingConnection connect() throws IOException {
        return new TrainingConnection(new Socket(sidecar.getAddress(), sidecar.getPort()));
    }

    private String request(String requestClass, Reaction reaction, String headers) {
        String head = " /" + requestClass + "/" + reaction + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: "
                + id(lastRequestId.incrementAndGet()) + "\r\nX-Lane: " + requestClass + "\r\nX-Remaining-Ms: 2000\r\n"
                + headers;
        boolean safe = requestClass.equals("read");
        String key = requestClass.equals("write") ? "" : "Idempotency-Key: " + lastRequestId + "\r\n";
        return safe ? "GET" + head + "\r\n" : "POST" + head + key + "Content-Length: 4\r\n\r\nbody";
    }

    private static String id(int number) {
        String digits = Integer.toHexString(number);
        return "0".repeat(16 - digits.length()) + digits;
    }
}
