import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Peers send requests that are not proper: each names its own X-Txn as a header of the connection. Every request that
 * reaches an upstream has to carry an id that a client sent.
 */
final class LostId {

    private static final int PEERS = 10;
    private static final int REMAINING_MS = 1200;

    private LostId() {}

    public static void main(String[] arguments) {
        Rig.run(arguments, LostId::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Set<String> sent = ConcurrentHashMap.newKeySet();
        List<String> strange = new CopyOnWriteArrayList<>();
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            upstreams.add(rig.new Upstream("s-" + i, arrival -> {
                if (arrival.id() == null) {
                    strange.add(arrival.head());
                    rig.log("a request without an id: " + arrival.head().replace("\r\n", " | "));
                    return Rig.answer("404 Not Found", "");
                }
                if (!sent.contains(arrival.id())) {
                    strange.add(arrival.head());
                    return Rig.answer("400 Bad Request", "");
                }
                Thread.sleep(50);
                return Rig.ok(arrival.id());
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar(
                "n1", discovery.address(), Rig.settings("ask", Rig.VAKTA_LANES, Rig.LIMITS), discovery.full(), 384, 144);
        sidecar.awaitReady();
        for (int i = 0; i < PEERS; i++) {
            String id = rig.newId();
            sent.add(id);
            String request =
                    Rig.request("POST", "/visit-checkin", "visit-checkin", id, REMAINING_MS, null, 20);
            String connection = rig.trouble ? "Connection: close, X-Txn\r\n" : "Connection: close\r\n";
            try (Rig.Client peer = rig.new Client(sidecar.port)) {
                peer.send(request.replace("X-Lane:", connection + "X-Lane:"));
                rig.log("peer " + i + " sent " + id + ", answer " + peer.read(5000).status());
            } catch (IOException e) {
                rig.log("peer " + i + " sent " + id + ": " + e);
            }
        }
        rig.log(strange.size() + " requests that no client sent have reached an upstream");
        System.out.println(strange.size() + " of " + PEERS + " requests reached an upstream as one that nobody sent");
        return !strange.isEmpty();
    }
}
