import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One client sends 60 requests at once on one connection. Without the disruption it sends them one at a time on each of
 * ten connections, as fast as they are answered.
 */
final class Pipeline {

    private static final int REQUESTS = 60;
    /** 42% of the 1,200 ms of shift-swap: the shortest try of a client of vakta-main. */
    private static final long REMAINING_MS = 504;
    /** Half a second, in which an answer only earns nothing, and the 50 ms by which limits on sockets are longer. */
    private static final double LOST_AFTER_MS = 550;
    /** The time that an attempt tells may be this much over what is left. */
    private static final double TOLD_SLACK_MS = 150;

    private static final int CONNECTIONS = 10;

    private record Sent(String id, double atMs) {}

    private final Rig rig;
    private final Random work = new Random(45);
    private final Map<String, double[]> runs = new ConcurrentHashMap<>();
    private int lost;
    private int wronglyTold;

    private Pipeline(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new Pipeline(rig).run());
    }

    private boolean run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            upstreams.add(rig.new Upstream("s-" + i, this::serve));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar(
                "n1", discovery.address(), Rig.settings("ask", Rig.VAKTA_LANES, Rig.LIMITS), discovery.full(), 384, 144);
        sidecar.awaitReady();
        try (Rig.Client client = rig.new Client(sidecar.port)) {
            for (int i = 0; i < 40; i++) { // ordinary traffic before the test
                client.send(request(rig.newId())).read(5000);
            }
        }
        for (int round = 0; round < 3; round++) {
            rig.log("round " + round);
            if (rig.trouble) {
                sendAtOnce(sidecar);
            } else {
                sendOneAtATime(sidecar);
            }
        }
        rig.log(lost + " of " + 3 * REQUESTS + " requests lost; " + wronglyTold
                + " attempts told over " + (int) TOLD_SLACK_MS + " ms more than was left");
        System.out.println(lost + " lost, " + wronglyTold + " attempts told too long a time, of " + 3 * REQUESTS);
        return lost > 0;
    }

    /** The mean work of shift-swap is 58 to 110 ms. */
    private byte[] serve(Rig.Arrival arrival) throws InterruptedException {
        runs.put(arrival.id(), new double[] {
            arrival.firstByteMs(), Double.parseDouble(Rig.header(arrival.head(), "X-Remaining-Ms"))
        });
        int workMs;
        synchronized (work) {
            workMs = 58 + work.nextInt(53);
        }
        Thread.sleep(workMs);
        return Rig.ok(arrival.id());
    }

    private static String request(String id) {
        return Rig.request("POST", "/shift-swap", "shift-swap", id, REMAINING_MS, id + id, 20);
    }

    private void sendAtOnce(Rig.Sidecar sidecar) throws Exception {
        try (Rig.Client client = rig.new Client(sidecar.port)) {
            StringBuilder text = new StringBuilder();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = rig.newId();
                ids.add(id);
                text.append(request(id));
            }
            double sentMs = rig.nowMs();
            client.send(text.toString());
            for (String id : ids) {
                receive(client, new Sent(id, sentMs));
            }
        }
    }

    private void sendOneAtATime(Rig.Sidecar sidecar) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(Rig.start(() -> {
                try (Rig.Client client = rig.new Client(sidecar.port)) {
                    for (int k = 0; k < REQUESTS / CONNECTIONS; k++) {
                        String id = rig.newId();
                        client.send(request(id));
                        receive(client, new Sent(id, rig.nowMs()));
                    }
                } catch (Exception e) {
                    rig.log("client failed: " + e);
                    synchronized (this) {
                        lost++;
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(20));
        }
    }

    private void receive(Rig.Client client, Sent sent) throws Exception {
        Rig.Answer answer = client.read(20_000);
        double tookMs = rig.nowMs() - sent.atMs;
        double[] run = runs.get(sent.id);
        boolean late = tookMs > REMAINING_MS + LOST_AFTER_MS;
        double leftMs = run == null ? 0 : sent.atMs + REMAINING_MS - run[0];
        boolean wrong = run != null && run[1] > Math.max(1, leftMs + TOLD_SLACK_MS);
        synchronized (this) {
            lost += late ? 1 : 0;
            wronglyTold += wrong ? 1 : 0;
        }
        rig.log(String.format(
                "request %s: answer %d after %.0f ms of %d%s%s",
                sent.id,
                answer.status(),
                tookMs,
                REMAINING_MS,
                run == null
                        ? ", not forwarded"
                        : String.format(
                                ", forwarded after %.0f ms with %.0f ms left, told %.0f ms",
                                run[0] - sent.atMs, leftMs, run[1]),
                late ? ", LOST" : ""));
    }
}
