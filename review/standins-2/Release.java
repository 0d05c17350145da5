import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Six in ten of 3,200 upstreams are replaced within 7 s, and the watch tells each change when it is made. */
final class Release {

    private static final int UPSTREAMS = 3200;
    private static final int REPLACED = UPSTREAMS * 6 / 10;
    private static final int SIDECARS = 100;
    private static final double RELEASE_MS = 7000;
    /** An upstream drains for this long, then it has left. */
    private static final double DRAIN_MS = 1000;
    /** The grace of drains and the 50 ms by which every limit on sockets is longer. */
    private static final double GRACE_MS = 550;

    /** Half a second, in which an answer only earns nothing, and the 50 ms by which limits on sockets are longer. */
    private static final double LOST_AFTER_MS = 550;

    /** How long the record follows requests that are lost. */
    private static final double FOLLOW_MS = 40_000;

    private static final int CLIENTS = 10;
    private static final double PAUSE_MS = 300;
    private static final String[] ZONES = {"reykjavik", "akureyri", "egilsstadir"};

    private record Change(double atMs, int upstream, String phase) {}

    private final Rig rig;
    private final Map<Integer, Double> toldMs = new ConcurrentHashMap<>();
    /** When the time of each request without an answer ends. */
    private final Map<String, Double> unanswered = new ConcurrentHashMap<>();

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;
    private volatile double lastAnswerMs;
    private double longestMs;
    private Fleet fleet;

    private Release(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new Release(rig).run());
    }

    private boolean run() throws Exception {
        try {
            fleet = new Fleet(rig, UPSTREAMS + REPLACED, 50, this::arrived);
        } catch (IOException e) {
            throw new Rig.CannotRun("not enough descriptors for the upstreams: " + e);
        }
        Rig.Discovery discovery = rig.new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            discovery.members.put(name(i), member(i, "active"));
        }
        Rig.Sidecar sidecar = rig.new Sidecar(
                "n1",
                discovery.address(),
                Rig.settings("push", Rig.VAKTA_LANES, Rig.LIMITS, SIDECARS),
                discovery.full(),
                1024,
                192);
        sidecar.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.start(() -> send(sidecar));
        }
        rig.sleep(5000);
        rig.log("requests before the release: " + requests);
        if (rig.trouble) {
            release(discovery);
        } else {
            rig.sleep(RELEASE_MS + DRAIN_MS);
        }
        rig.sleep(4000);
        ended = true;
        double gapMs = longestGapMs();
        rig.sleep(2500); // longer than any request may stay without an answer
        unanswered.forEach((id, deadlineMs) -> {
            boolean overdue = rig.nowMs() > deadlineMs + LOST_AFTER_MS;
            lost.addAndGet(overdue ? 1 : 0);
            rig.log("request " + id + ": no answer " + Math.round(rig.nowMs() - deadlineMs) + " ms after its time"
                    + (overdue ? ", LOST" : ""));
        });
        double answeredMs = lastAnswerMs;
        double followUntilMs = rig.nowMs() + FOLLOW_MS;
        while (lost.get() > 0 && lastAnswerMs == answeredMs && rig.nowMs() < followUntilMs) {
            rig.sleep(50);
        }
        gapMs = lost.get() > 0 ? longestGapMs() : gapMs;
        rig.log(String.format("the longest time without any answer: %.0f ms", gapMs));
        System.out.printf("the longest time without any answer: %.0f ms%n", gapMs);
        String result = requests + " requests; attempts that began over " + (int) GRACE_MS
                + " ms after their upstream was told as leaving: " + broken + "; requests lost: " + lost;
        rig.log(result);
        System.out.println(result);
        fleet.close();
        return broken.get() > 0 || lost.get() > 0;
    }

    private static String name(int upstream) {
        return String.format("s-%05d", upstream);
    }

    /** Eight upstreams make up a pod; no two zones share one. */
    private String member(int upstream, String phase) {
        int pod = upstream % UPSTREAMS / 8;
        return "{\"id\":\"" + name(upstream) + "\",\"host_port\":\"" + fleet.address(upstream) + "\",\"locality\":\""
                + ZONES[pod % ZONES.length] + "\",\"flavor\":\"mid-box\",\"cell\":" + pod + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + (upstream < UPSTREAMS ? 0 : System.currentTimeMillis()) + "}";
    }

    /** Each upstream begins to drain, its successor starts, and a second later it has left. */
    private void release(Rig.Discovery discovery) {
        PriorityQueue<Change> changes = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
        double startMs = rig.nowMs();
        for (int i = 0; i < REPLACED; i++) {
            double atMs = startMs + i * RELEASE_MS / REPLACED;
            changes.add(new Change(atMs, i, "leaving"));
            changes.add(new Change(atMs, UPSTREAMS + i, "active"));
            changes.add(new Change(atMs + DRAIN_MS, i, "left"));
        }
        int count = changes.size();
        while (!changes.isEmpty()) {
            Change change = changes.poll();
            rig.sleepUntil(change.atMs);
            tell(discovery, change);
        }
        rig.log(String.format("%d changes told within %.0f ms", count, rig.nowMs() - startMs));
    }

    /** The change counts as told once it is written to the watch. */
    private void tell(Rig.Discovery discovery, Change change) {
        String entry = member(change.upstream, change.phase);
        synchronized (discovery) {
            discovery.revision++;
            if (change.phase.equals("left")) {
                discovery.members.remove(name(change.upstream));
            } else {
                discovery.members.put(name(change.upstream), entry);
            }
            discovery.tell(discovery.list(false, new ArrayList<>(List.of(entry))));
        }
        if (change.phase.equals("leaving")) {
            toldMs.put(change.upstream, rig.nowMs());
        }
    }

    private void arrived(int upstream, String id, double firstByteMs) {
        Double told = toldMs.get(upstream);
        boolean late = told != null && firstByteMs > told + GRACE_MS;
        rig.log(name(upstream) + " runs " + id
                + (told == null ? "" : String.format(", %.0f ms after it was told as leaving", firstByteMs - told))
                + (late ? ", BROKEN" : ""));
        broken.addAndGet(late ? 1 : 0);
    }

    private synchronized void answered() {
        longestMs = longestGapMs();
        lastAnswerMs = rig.nowMs();
    }

    private synchronized double longestGapMs() {
        return Math.max(longestMs, lastAnswerMs == 0 ? 0 : rig.nowMs() - lastAnswerMs);
    }

    /** 74% of the requests are visit-checkin, the others shift-swap; the client waits for 60% of the class's time. */
    private void send(Rig.Sidecar sidecar) {
        Rig.Client client = null;
        while (!ended) {
            boolean checkIn = ThreadLocalRandom.current().nextInt(100) < 74;
            String lane = checkIn ? "visit-checkin" : "shift-swap";
            long remainingMs = checkIn ? 1200 : 720;
            String id = rig.newId();
            boolean reused = client != null;
            double sentMs = rig.nowMs();
            try {
                client = reused ? client : rig.new Client(sidecar.port);
                client.send(Rig.request("POST", "/" + lane, lane, id, remainingMs, checkIn ? null : id + id, 20));
                sentMs = rig.nowMs();
                unanswered.put(id, sentMs + remainingMs);
                requests.incrementAndGet();
                Rig.Answer answer = client.read(60_000);
                unanswered.remove(id);
                answered();
                double tookMs = rig.nowMs() - sentMs;
                boolean late = tookMs > remainingMs + LOST_AFTER_MS;
                lost.addAndGet(late ? 1 : 0);
                rig.log(String.format(
                        "request %s: %d after %.0f ms of %d%s",
                        id, answer.status(), tookMs, remainingMs, late ? ", LOST" : ""));
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                unanswered.remove(id); // the sidecar has closed a connection
                rig.log("request " + id + ": " + e + (reused ? ", at the end of a resting connection" : ""));
                client = null;
            }
            rig.sleep(PAUSE_MS * (0.5 + ThreadLocalRandom.current().nextDouble()));
        }
    }
}
