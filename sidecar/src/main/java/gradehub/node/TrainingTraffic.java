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

/** The clients of a training run: good, bad, slow, impatient and many at once. */
final class TrainingTraffic {

    /** Enough at once to fill the windows of all upstreams and all that clients may hold. */
    private static final int CROWD = 90;

    private static final int SERVED_ONE_BY_ONE = 60;
    private static final List<String> CLASSES = List.of("read", "write", "keyed", "zoned", "celled");
    private static final List<String> BAD_HEADERS = List.of(
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
    private final AtomicInteger lastId = new AtomicInteger();
    private final Set<Integer> statuses = new ConcurrentSkipListSet<>();

    TrainingTraffic(InetSocketAddress sidecar) {
        this.sidecar = sidecar;
    }

    /** Sends everything there is, and returns the statuses of all answers that came. */
    Set<Integer> runTraffic() throws IOException, InterruptedException, ExecutionException {
        serveOneByOne();
        repeatIdentifier();
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            List<Future<Void>> running = new ArrayList<>();
            for (Callable<Void> conversation : troubles()) {
                running.add(clients.submit(conversation));
            }
            awaitAll(running);
            for (int i = 0; i < CROWD; i++) {
                running.add(clients.submit(ask(CLASSES.get(i % CLASSES.size()), Reaction.SERVE_LATE)));
            }
            awaitAll(running);
        } finally {
            clients.shutdownNow();
        }
        serveOneByOne();
        return statuses;
    }

    private static void awaitAll(List<Future<Void>> running) throws InterruptedException, ExecutionException {
        for (Future<Void> conversation : running) {
            conversation.get();
        }
    }

    private void serveOneByOne() throws IOException {
        try (TrainingConnection wire = connect()) {
            for (int i = 0; i < SERVED_ONE_BY_ONE; i++) {
                wire.send(request(CLASSES.get(i % CLASSES.size()), Reaction.SERVE, "X-Estimate: 900\r\n"));
                TrainingConnection.Message answer = wire.read();
                if (answer == null) {
                    return; // the sidecar may close a connection between two requests
                }
                statuses.add(answer.status());
            }
        }
    }

    /** The second request comes while the first one of its identifier is open. */
    private void repeatIdentifier() throws IOException {
        try (TrainingConnection wire = connect()) {
            wire.send(request("read", Reaction.SERVE_LATE, "").repeat(2));
            for (int i = 0; i < 2; i++) {
                note(wire.read());
            }
        }
    }

    /** Notes the status of an answer, or nothing where the connection has ended; false for a preliminary answer. */
    private boolean note(TrainingConnection.Message answer) {
        if (answer != null) {
            statuses.add(answer.status());
        }
        return answer == null || answer.status() >= 200;
    }

    private List<Callable<Void>> troubles() {
        List<Callable<Void>> all = new ArrayList<>();
        for (Reaction reaction : Reaction.values()) {
            CLASSES.forEach(requestClass -> all.add(ask(requestClass, reaction)));
        }
        for (String header : BAD_HEADERS) {
            all.add(exchange(request("write", Reaction.SERVE, header + "\r\n")));
        }
        all.add(exchange("GET /ready HTTP/1.1\r\n\r\n"));
        all.add(exchange("GET /ready HTTP/1.0\r\n\r\n"));
        all.add(exchange("no HTTP at all\r\n\r\n"));
        all.add(exchange(request("unknown", Reaction.SERVE, "")));
        all.add(exchange(request("read", Reaction.SERVE, "").replace("GET", "POST")));
        all.add(exchange(request("read", Reaction.SERVE, "Connection: X-Private\r\nX-Private: 1\r\n")));
        all.add(exchange(request("read", Reaction.SERVE, "X-Resent: 1\r\nX-Org: t1\r\n")));
        all.add(exchange(request("read", Reaction.SERVE, "").replace("X-Txn: 0", "X-Txn: z")));
        all.add(exchange(request("read", Reaction.SILENT, "").replace("Ms: 2000", "Ms: 200")));
        all.add(exchange(request("write", Reaction.SERVE, "Expect: 100-continue\r\n")));
        all.add(exchange(request("write", Reaction.SERVE, "").replace("Length: 4", "Length: 60000000")));
        all.add(exchange(request("write", Reaction.SERVE, "")
                .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                .replace("body", "4\r\nbody\r\n0\r\n\r\n")));
        all.add(exchange(request("write", Reaction.SERVE, "")
                .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                .replace("body", "11000\r\n" + "b".repeat(0x11000) + "\r\n")));
        all.add(exchange("GET /read HTTP/1.1\r\n" + "X-Pad: pppppppp\r\n".repeat(1000) + "\r\n"));
        all.add(exchange("GET /" + "x".repeat(10_000) + " HTTP/1.1\r\n\r\n"));
        all.add(exchange(request("read", Reaction.SERVE, "").repeat(20)));
        all.add(exchange("GET /read HTTP/1.1\r\nX-T"));
        all.add(exchange(request("write", Reaction.SERVE, "").replace("Length: 4", "Length: 9")));
        all.add(exchange(""));
        all.add(this::leave);
        all.add(this::breakOff);
        all.add(this::breakOffUnread);
        return all;
    }

    private Callable<Void> ask(String requestClass, Reaction reaction) {
        return exchange(request(requestClass, reaction, ""));
    }

    /** Sends this on a connection of its own, and reads until the final answer or the end. */
    private Callable<Void> exchange(String text) {
        return () -> {
            try (TrainingConnection wire = connect()) {
                wire.send(text);
                while (!note(wire.read())) {
                    // The final answer is still to come.
                }
            } catch (IOException e) {
                // The sidecar has broken it off, which it may do to a client of this kind.
            }
            return null;
        };
    }

    private Void leave() throws IOException {
        try (TrainingConnection wire = connect()) {
            wire.send(request("read", Reaction.SILENT, ""));
            wire.endOutput();
            wire.read();
        }
        return null;
    }

    private Void breakOff() throws IOException {
        try (TrainingConnection wire = connect()) {
            wire.send(request("read", Reaction.SERVE_LATE, ""));
            wire.reset();
        }
        return null;
    }

    private Void breakOffUnread() throws IOException {
        try (TrainingConnection wire = connect()) {
            wire.send("GET /read HTTP/1.1\r\nX-Txn: 00");
            wire.reset();
        }
        return null;
    }

    private TrainingConnection connect() throws IOException {
        return new TrainingConnection(new Socket(sidecar.getAddress(), sidecar.getPort()));
    }

    private String request(String requestClass, Reaction reaction, String headers) {
        String head = " /" + requestClass + "/" + reaction + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: "
                + id(lastId.incrementAndGet()) + "\r\nX-Lane: " + requestClass + "\r\nX-Remaining-Ms: 2000\r\n"
                + headers;
        boolean safe = requestClass.equals("read");
        String key = requestClass.equals("write") ? "" : "Idempotency-Key: " + lastId + "\r\n";
        return safe ? "GET" + head + "\r\n" : "POST" + head + key + "Content-Length: 4\r\n\r\nbody";
    }

    private static String id(int number) {
        String digits = Integer.toHexString(number);
        return "0".repeat(16 - digits.length()) + digits;
    }
}
