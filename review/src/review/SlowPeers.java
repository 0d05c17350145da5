package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 2: peers that never finish the head of their request, one byte a second; others ask on new connections. */
final class SlowPeers {

    private static final int SOCKETS = 256;
    private static final int PEERS = 130;
    private static final int BYTE_EVERY_MS = 1000;
    /** A peer is owed an error or a close within this time of connecting, 50 ms for sockets included. */
    private static final int OWED_MS = 3050;

    private static final int TIME_MS = 1600;
    private static final int RUN_MS = 15_000;

    private SlowPeers() {}

    static int run(Path file) throws Exception {
        try (Record record = new Record(file);
                Rig rig = new Rig(record)) {
            rig.sockets = SOCKETS;
            for (int i = 0; i < 10; i++) {
                rig.upstream(i % 2 == 0 ? "reykjavik" : "akureyri", i % 2, Upstream.serving(50));
            }
            rig.start();
            Tally before = ask(rig, 3000);
            record.say("before, " + before.summary());
            if (before.served() == 0) {
                return Main.COULD_NOT_RUN;
            }
            AtomicInteger inTime = new AtomicInteger();
            for (int i = 0; Rig.TROUBLE && i < PEERS; i++) {
                int number = i;
                Rig.thread("peer", () -> connectSlowly(rig, number, inTime));
            }
            Tally beside = ask(rig, RUN_MS);
            record.say("beside the peers, " + beside.summary());
            record.say("peers that got an error or a close within 3 s: " + inTime + " of " + (Rig.TROUBLE ? PEERS : 0));
            long lost = beside.count(Client.Ending.SILENT);
            record.say("requests of ordinary clients that were lost: " + lost);
            return lost > 0 || !rig.sidecar.isAlive() ? Main.BROKEN : Main.HELD;
        }
    }

    /** Each client comes on a new connection with a single request. */
    private static Tally ask(Rig rig, long forMs) throws InterruptedException {
        Tally tally = new Tally("ordinary clients");
        List<Thread> clients = new ArrayList<>();
        double endMs = rig.record.nowMs() + forMs;
        while (rig.record.nowMs() < endMs) {
            String request = Rig.post("visit-checkin", rig.txn(), TIME_MS, "", "arrived");
            clients.add(Rig.thread("ordinary client", () -> {
                try (Client client = new Client(rig, "ordinary")) {
                    tally.add(client.ask(request, TIME_MS, request.length(), 0));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            Thread.sleep(200);
        }
        for (Thread client : clients) {
            client.join();
        }
        return tally;
    }

    private static void connectSlowly(Rig rig, int number, AtomicInteger inTime) {
        double beganMs = rig.record.nowMs();
        try (Socket socket = rig.connect()) {
            rig.record.line("peer " + number + " connected");
            OutputStream out = socket.getOutputStream();
            out.write("POST /visit-checkin HTTP/1.1\r\nHost: origin.svc\r\nX-Labels: "
                    .getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(BYTE_EVERY_MS);
            for (boolean ended = false; !ended; ) {
                try {
                    int next = socket.getInputStream().read();
                    ended = true;
                    record(rig, number, beganMs, next < 0 ? "closed" : "answered", inTime);
                } catch (SocketTimeoutException e) {
                    out.write('a');
                }
            }
        } catch (IOException e) {
            record(rig, number, beganMs, "ended with " + e.getMessage(), inTime);
        }
    }

    private static void record(Rig rig, int number, double beganMs, String what, AtomicInteger inTime) {
        double afterMs = rig.record.nowMs() - beganMs;
        rig.record.line("peer " + number + " " + what + " after " + Math.round(afterMs) + " ms");
        if (afterMs <= OWED_MS) {
            inTime.incrementAndGet();
        }
    }
}
