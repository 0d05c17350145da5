import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * As many idle clients as the sidecar has descriptors connect at once and rest until the sidecar ends them. The
 * application's requests on new connections wait behind them.
 */
final class Crowd {

    private static final int DESCRIPTORS = 256;
    /** A third of the descriptors: those of the idle clients that have had an answer before they rest. */
    private static final int RESTING = DESCRIPTORS / 3;

    /** Half of the 1,200 ms of shift-swap; clients of vakta-main give a try 42 to 80%. */
    private static final long REMAINING_MS = 600;

    /** Half a second, in which an answer only earns nothing, and the 50 ms by which limits on sockets are longer. */
    private static final double LOST_AFTER_MS = 550;
    private static final int NEW_CONNECTIONS = 6;
    /** How long the record follows a request that is lost. */
    private static final double FOLLOW_MS = 4000;

    private final Rig rig;
    private final AtomicInteger lost = new AtomicInteger();

    private Crowd(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new Crowd(rig).run());
    }

    private boolean run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            upstreams.add(rig.new Upstream("s-" + i, arrival -> {
                Thread.sleep(ThreadLocalRandom.current().nextInt(39, 71));
                return Rig.ok(arrival.id());
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar(
                "n1",
                discovery.address(),
                Rig.settings("ask", Rig.VAKTA_LANES, Rig.LIMITS),
                discovery.full(),
                DESCRIPTORS,
                144);
        sidecar.awaitReady();
        try (Rig.Client client = rig.new Client(sidecar.port)) {
            for (int i = 0; i < 40; i++) { // ordinary traffic before the test
                client.send(request(rig.newId())).read(5000);
            }
        }
        if (rig.trouble) {
            connectCrowd(sidecar);
        }
        List<Thread> requests = new ArrayList<>();
        for (int i = 0; i < NEW_CONNECTIONS; i++) {
            requests.add(Rig.start(() -> sendOnNewConnection(sidecar)));
        }
        for (Thread request : requests) {
            request.join();
        }
        rig.log(lost + " of " + NEW_CONNECTIONS + " requests lost");
        System.out.println(lost + " of " + NEW_CONNECTIONS + " requests lost");
        return lost.get() > 0;
    }

    private static String request(String id) {
        return Rig.request("POST", "/shift-swap", "shift-swap", id, REMAINING_MS, id + id, 20);
    }

    private void connectCrowd(Rig.Sidecar sidecar) throws IOException {
        for (int i = 0; i < DESCRIPTORS; i++) {
            Rig.Client idle = rig.new Client(sidecar.port);
            if (i < RESTING) {
                idle.send("GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n").read(2000);
            }
            Rig.start(() -> { // rests until the sidecar ends the connection
                try (idle) {
                    idle.socket.setSoTimeout(0);
                    idle.socket.getInputStream().read();
                } catch (IOException e) {
                    // Reset by the sidecar.
                }
            });
        }
        rig.log(DESCRIPTORS + " idle clients are connected, " + RESTING + " of them after an answer");
    }

    /** A request counts as taken once it is written; one whose connection is shut unread may be sent again. */
    private void sendOnNewConnection(Rig.Sidecar sidecar) {
        String id = rig.newId();
        double sentMs = rig.nowMs();
        String result;
        try (Rig.Client client = rig.new Client(sidecar.port)) {
            client.send(request(id));
            sentMs = rig.nowMs();
            Rig.Answer answer = client.read(FOLLOW_MS);
            result = "answer " + answer.status();
        } catch (java.net.SocketTimeoutException e) {
            result = "no answer";
        } catch (IOException e) {
            rig.log("request " + id + ": shut unread after " + Math.round(rig.nowMs() - sentMs) + " ms, excused");
            return;
        }
        double tookMs = rig.nowMs() - sentMs;
        boolean late = tookMs > REMAINING_MS + LOST_AFTER_MS;
        lost.addAndGet(late ? 1 : 0);
        rig.log("request " + id + ": " + result + " after " + Math.round(tookMs) + " ms of " + REMAINING_MS
                + (late ? ", LOST" : ""));
    }
}
