package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: a planned restart while half of the servers hang; some clients write their request slowly just then. */
final class LateStop {

    private static final int CLIENTS = 16;
    private static final int PIECES = 20;
    private static final int BODY_BYTES = 32 * 1024;
    /** The class has 5 s; a client gives one try up after 0.6 of that. */
    private static final int TIME_MS = 3000;
    /** When clients begin to write, and the last byte of the first and of the last client, after SIGTERM. */
    private static final int BEGIN_MS = 350;

    private static final int FIRST_LAST_BYTE_MS = 760;
    private static final int LAST_LAST_BYTE_MS = 940;
    /** A request that arrives later than 0.7 s, and 50 ms for sockets, after SIGTERM has to be answered before SIGKILL, which comes after that. */
    private static final int EXCUSED_MS = 750;

    private static final int KILL_MS = 3000 + 705;

    private final Rig rig;
    private final AtomicBoolean hanging = new AtomicBoolean();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile double termMs;

    private LateStop(Rig rig) {
        this.rig = rig;
    }

    static int run(Path file) throws Exception {
        try (Record record = new Record(file);
                Rig rig = new Rig(record)) {
            return new LateStop(rig).run();
        }
    }

    private int run() throws Exception {
        rig.zones = "\"aarhus\",\"odense\",\"ballerup\"";
        rig.lanes =
                """
                {"name":"save-position","aimMs":600.0,"hardLimitMs":1200.0,"idempotency":"dedup","group":"cell",
                 "windowMs":2500.0,"worth":8.0,"lateWorth":0.3,"streaming":false},
                {"name":"publish-episode","aimMs":1000.0,"hardLimitMs":5000.0,"idempotency":"fragile","group":"all",
                 "windowMs":5000.0,"worth":10.0,"lateWorth":0.5,"streaming":false}""";
        for (int i = 0; i < 10; i++) {
            boolean hangs = i % 2 == 0;
            rig.upstream(i < 5 ? "aarhus" : "odense", i < 5 ? 0 : 1, (upstream, request) -> {
                Thread.sleep(hangs && hanging.get() ? 60_000 : 70);
                return Upstream.answer("200 OK", "", "served " + request.header("X-Txn"));
            });
        }
        rig.start();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            sockets.add(rig.connect());
        }
        int served = 0;
        for (int round = 0; round < 5; round++) {
            for (int i = 0; i < CLIENTS; i++) {
                served += askBefore(sockets.get(i)) ? 1 : 0;
            }
        }
        rig.record.say("before, " + served + " of " + 5 * CLIENTS + " requests answered 200");
        if (served < 5 * CLIENTS) {
            return Main.COULD_NOT_RUN;
        }
        hanging.set(Rig.TROUBLE);
        termMs = rig.record.nowMs();
        rig.signal("TERM");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.thread("client", () -> askSlowly(sockets.get(number), number)));
        }
        sleepUntil(KILL_MS);
        rig.record.say("SIGKILL " + Math.round(sinceTermMs()) + " ms after SIGTERM; the process "
                + (rig.sidecar.isAlive() ? "runs" : "has ended"));
        rig.sidecar.destroyForcibly();
        for (Thread client : clients) {
            client.join();
        }
        rig.record.say("requests that arrived later than 750 ms after SIGTERM and got no answer: " + lost);
        return lost.get() > 0 ? Main.BROKEN : Main.HELD;
    }

    private boolean askBefore(Socket socket) throws IOException {
        String request = Rig.post("publish-episode", rig.txn(), TIME_MS, "", "b".repeat(1000));
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
        return answer != null && answer.status() == 200;
    }

    private void askSlowly(Socket socket, int number) {
        String txn = rig.txn();
        byte[] request = Rig.post("publish-episode", txn, TIME_MS, "", "b".repeat(BODY_BYTES))
                .getBytes(StandardCharsets.US_ASCII);
        int lastByteMs =
                FIRST_LAST_BYTE_MS + (LAST_LAST_BYTE_MS - FIRST_LAST_BYTE_MS) * number / (CLIENTS - 1);
        double beganLastMs = -1;
        String ending;
        try (socket) {
            OutputStream out = socket.getOutputStream();
            InputStream in = Http.buffered(socket.getInputStream());
            for (int piece = 0; piece < PIECES; piece++) {
                sleepUntil(BEGIN_MS + (lastByteMs - BEGIN_MS) * piece / (PIECES - 1));
                int from = request.length * piece / PIECES;
                double beganMs = sinceTermMs();
                out.write(request, from, request.length * (piece + 1) / PIECES - from);
                beganLastMs = piece == PIECES - 1 ? beganMs : -1;
            }
            Http.Message answer = Http.read(in);
            ending = answer == null ? "connection closed without an answer" : answer.firstLine();
            if (answer == null && beganLastMs > EXCUSED_MS) {
                lost.incrementAndGet();
            }
        } catch (IOException e) {
            ending = "connection ended: " + e.getMessage();
            if (beganLastMs > EXCUSED_MS) {
                lost.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        rig.record.line("client " + number + " X-Txn " + txn + " last byte written "
                + Math.round(beganLastMs) + " ms after SIGTERM, time " + TIME_MS + " ms; " + ending + " "
                + Math.round(sinceTermMs()) + " ms after SIGTERM");
    }

    private double sinceTermMs() {
        return rig.record.nowMs() - termMs;
    }

    private void sleepUntil(long afterTermMs) throws InterruptedException {
        Thread.sleep((long) Math.max(0, afterTermMs - sinceTermMs()));
    }
}
