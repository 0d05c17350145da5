package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Case 1: some clients write long requests slowly; others send short ones at once. */
final class SlowLong {

    private static final int SOCKETS = 1024;
    private static final int SLOW_CLIENTS = 170;
    private static final int ORDINARY_CLIENTS = 150;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 1024;
    private static final int PAUSE_MS = 25;
    private static final int TIME_MS = 1600;
    private static final int RUN_MS = 12_000;

    /** Nobody asks for this long before the last look at the sidecar. */
    private static final int QUIET_MS = 10_000;

    private SlowLong() {}

    static int run(Path file) throws Exception {
        try (Record record = new Record(file);
                Rig rig = new Rig(record)) {
            rig.sockets = SOCKETS;
            for (int i = 0; i < 10; i++) {
                rig.upstream(i % 2 == 0 ? "reykjavik" : "akureyri", i % 2, Upstream.serving(50));
            }
            rig.start();
            Tally before = ask(rig, 3000, false);
            record.say("before, " + before.summary());
            if (before.served() == 0) {
                return Main.COULD_NOT_RUN;
            }
            Tally ordinary = ask(rig, RUN_MS, true);
            record.say("the sidecar's process " + (rig.sidecar.isAlive() ? "runs" : "has ended"));
            long errors = rig.log().lines()
                    .filter(line -> line.startsWith("java.lang.OutOfMemoryError"))
                    .count();
            record.say("the sidecar's log has OutOfMemoryError " + errors + " times");
            Thread.sleep(QUIET_MS);
            Tally after = ask(rig, 3000, false);
            record.say("after, " + after.summary());
            long lost = ordinary.count(Client.Ending.SILENT) + after.count(Client.Ending.SILENT);
            record.say("requests of ordinary clients that were lost: " + lost);
            return lost > 0 || !rig.sidecar.isAlive() ? Main.BROKEN : Main.HELD;
        }
    }

    /** Ordinary clients ask for this long, beside the clients with long requests if these take part. */
    private static Tally ask(Rig rig, long forMs, boolean longRequests) throws InterruptedException {
        Tally ordinary = new Tally("ordinary clients");
        Tally slow = new Tally("clients with long requests");
        List<Thread> clients = new ArrayList<>();
        double endMs = rig.record.nowMs() + forMs;
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            clients.add(Rig.thread("ordinary client", () -> ask(rig, "ordinary ", number, endMs, 500, ordinary, 1)));
        }
        for (int i = 0; longRequests && i < SLOW_CLIENTS; i++) {
            int number = i;
            clients.add(Rig.thread("slow client", () -> ask(rig, "long ", number, endMs, 2000, slow, BODY_BYTES)));
        }
        for (Thread client : clients) {
            client.join();
        }
        if (longRequests) {
            rig.record.say(slow.summary());
            rig.record.say(ordinary.summary());
        }
        return ordinary;
    }

    private static void ask(Rig rig, String name, int number, double endMs, long everyMs, Tally tally, int bodyBytes) {
        boolean slowly = bodyBytes == BODY_BYTES && Rig.TROUBLE;
        try (Client client = new Client(rig, name + number)) {
            Thread.sleep(number % 100 * everyMs / 100);
            while (rig.record.nowMs() < endMs) {
                double beganMs = rig.record.nowMs();
                String request = Rig.post("visit-checkin", rig.txn(), TIME_MS, "", "b".repeat(bodyBytes));
                tally.add(client.ask(
                        request, TIME_MS, slowly ? PIECE_BYTES : request.length(), slowly ? PAUSE_MS : 0));
                Thread.sleep((long) Math.max(0, everyMs - (rig.record.nowMs() - beganMs)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
