import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 500 bad peers connect; each sends 64,000 chunks of one byte at once, no end of the body, and goes. A few ordinary
 * clients go on with short requests on the connections that they hold.
 */
final class Chunks {

    private static final int DESCRIPTORS = 1024;
    private static final int PEERS = 500;
    private static final int CHUNKS = 64_000;
    private static final int CLIENTS = 6;
    private static final double PAUSE_MS = 150;
    /** 42% of the 700 ms of alarm-state: the shortest try of a client of night-watch. */
    private static final long REMAINING_MS = 294;

    /** Half a second, in which an answer only earns nothing, and the 50 ms by which limits on sockets are longer. */
    private static final double LOST_AFTER_MS = 550;
    private static final double AFTER_MS = 12_000;
    private static final int FOLLOW_MS = 30_000;

    /** The classes and limits of night-watch. */
    private static final String LANES = Rig.lane("alarm-state", 300, 700, "retryable", "all", 0, 2, 0.1) + ","
            + Rig.lane("door-unlock", 900, 3000, "fragile", "all", 0, 9, 0.5);

    private static final String LIMITS = "\"maxAttempts\":2,\"cancel\":false,\"secondCopies\":false,\"probing\":false,"
            + "\"retryAfter\":false,\"maxRetryAfterMs\":1000.0,\"connIdleMs\":60000.0,\"connectTimeoutMs\":250.0,"
            + "\"streamsPerConn\":1,\"maxOpen\":20350";

    private final Rig rig;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    private Chunks(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new Chunks(rig).run());
    }

    private boolean run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            upstreams.add(rig.new Upstream("s-" + i, arrival -> {
                Thread.sleep(ThreadLocalRandom.current().nextInt(39, 71));
                return Rig.ok(arrival.id());
            }));
        }
        upstreams.forEach(upstream -> upstream.zone = "north");
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar(
                "n1",
                discovery.address(),
                Rig.settings("ask", LANES, LIMITS)
                        .replace("\"reykjavik\",\"akureyri\",\"egilsstadir\"", "\"north\",\"south\"")
                        .replace("\"marksRetry\":true", "\"marksRetry\":false"),
                discovery.full(),
                DESCRIPTORS,
                192);
        sidecar.awaitReady();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Rig.start(() -> send(sidecar)));
        }
        rig.sleep(4000);
        rig.log("requests before the peers: " + requests + ", lost: " + lost);
        if (rig.trouble) {
            byte[] chunks = ("1\r\nx\r\n".repeat(CHUNKS)).getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < PEERS; i++) {
                Rig.start(() -> sendChunks(sidecar, chunks));
            }
        }
        rig.sleep(AFTER_MS);
        ended = true;
        for (Thread client : clients) {
            client.join(FOLLOW_MS + 1000);
        }
        String result = lost + " of " + requests + " requests of ordinary clients lost";
        rig.log(result);
        System.out.println(result);
        return lost.get() > 0;
    }

    private void sendChunks(Rig.Sidecar sidecar, byte[] chunks) {
        String result = "sent all and has gone";
        double startMs = rig.nowMs();
        try (Rig.Client peer = rig.new Client(sidecar.port)) {
            peer.send("POST /door-unlock HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + rig.newId()
                    + "\r\nX-Lane: door-unlock\r\nX-Remaining-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n");
            peer.send(chunks);
        } catch (IOException e) {
            result = e.getMessage();
        }
        rig.log("a peer: " + result + ", " + Math.round(rig.nowMs() - startMs) + " ms after it came");
    }

    private void send(Rig.Sidecar sidecar) {
        Rig.Client client = null;
        while (!ended) {
            String id = rig.newId();
            double sentMs = rig.nowMs();
            try {
                client = client != null ? client : rig.new Client(sidecar.port);
                client.send(Rig.request("GET", "/alarm-state", "alarm-state", id, REMAINING_MS, null, 0));
                sentMs = rig.nowMs();
                requests.incrementAndGet();
                Rig.Answer answer = client.read(FOLLOW_MS);
                finished(id, "answer " + answer.status(), sentMs);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (SocketTimeoutException e) {
                finished(id, "no answer", sentMs);
                return;
            } catch (IOException e) {
                rig.log("request " + id + ": the connection has ended: " + e.getMessage());
                client = null;
            }
            rig.sleep(PAUSE_MS * (0.5 + ThreadLocalRandom.current().nextDouble()));
        }
    }

    private void finished(String id, String result, double sentMs) {
        double tookMs = rig.nowMs() - sentMs;
        boolean late = tookMs > REMAINING_MS + LOST_AFTER_MS;
        lost.addAndGet(late ? 1 : 0);
        rig.log("request " + id + ": " + result + " after " + Math.round(tookMs) + " ms of " + REMAINING_MS
                + (late ? ", LOST" : ""));
    }
}
