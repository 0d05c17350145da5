package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradehub.node.PipeliningClient.Leaving;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A seeded soak of the packaged sidecar: clients that leave at random moments beside ordinary ones, upstreams that turn
 * away and fail, signals in series, and in some runs a crowd of idle clients. {@code -Dsoak.first=N -Dsoak.seeds=N}
 * choose the seeds.
 */
class LeavingClientsSoakIT {

    private static final long LOAD_MS = 4000;
    private static final int UPSTREAMS = 4;
    private static final int LEAVING_CLIENTS = 4;
    private static final int ORDINARY_CLIENTS = 4;
    private static final int CROWD = 300;
    private static final int DEADLINE_MS = 2000;
    private static final int REMAINING_MS = 1600;
    /** An answer is lost if it comes later than half a second after the client's waiting time. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    /** No attempt may begin later than this after its client has left. */
    private static final long SENT_AFTER_LEAVING_MS = 100;
    /** SIGKILL comes this long after SIGTERM at the earliest, from the longest deadline. */
    private static final long KILL_MS = DEADLINE_MS + 700;

    private static final int[] BODY_BYTES = {0, 1, 1000, 60_000};
    private static final int[] PIPELINED = {1, 2, 5, 20, 100, 1000};
    private static final long[] PAUSES_MS = {0, 0, 20, 200};
    private static final long[] SERVICE_MS = {0, 0, 10, 50, 200, 400};

    /** An attempt that reached an upstream. */
    private record Attempt(String id, long receivedNanos) {}

    @TempDir
    private Path folder;

    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean loadEnded;
    private volatile boolean stopping;
    private SidecarProcess sidecar;

    static LongStream seeds() {
        long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 3));
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long pick(Random random, long[] values) {
        return values[random.nextInt(values.length)];
    }

    private static int pick(Random random, int[] values) {
        return values[random.nextInt(values.length)];
    }

    private String nextId() {
        return SidecarFixture.requestId(requests.incrementAndGet());
    }

    private static String request(String id, int bodyBytes) {
        return bodyBytes == 0
                ? SidecarFixture.getRequest(id, REMAINING_MS)
                : SidecarFixture.postRequest(id, "b".repeat(bodyBytes)).replace("Ms: 30000", "Ms: " + REMAINING_MS);
    }

    /** Answers at random; an upstream runs what it does not turn away. */
    private String serve(RawConnection.Message request, Random random) {
        String id = request.header("X-Txn");
        attempts.add(new Attempt(id, System.nanoTime()));
        double draw = random.nextDouble();
        pause(SERVICE_MS[(int) (draw * 1000) % SERVICE_MS.length]);
        if (draw < 0.45) {
            return SidecarFixture.answer("503 Busy", "", "X-Turned-Away: 1");
        }
        if (request.startLine().startsWith("POST")) {
            runs.computeIfAbsent(id, unused -> new AtomicInteger()).incrementAndGet();
        }
        if (draw < 0.5) {
            return SidecarFixture.answer("500 Error", "");
        }
        return draw < 0.53 ? null : SidecarFixture.answer("200 OK", id);
    }

    /** Pipelines some requests and leaves; now and then another client comes with the identifier of one of them. */
    private void leaveAtRandom(Random random) {
        while (!loadEnded) {
            int bodyBytes = pick(random, BODY_BYTES);
            List<String> ids = new ArrayList<>();
            try (PipeliningClient client = new PipeliningClient(sidecar.address())) {
                client.sendUntilFull(pick(random, PIPELINED), () -> {
                    ids.add(nextId());
                    return request(ids.get(ids.size() - 1), bodyBytes);
                });
                pause(pick(random, PAUSES_MS));
                client.leave(random.nextInt(3) == 0 ? Leaving.RESET : Leaving.CLOSE);
            } catch (IOException e) {
                // The sidecar has ended the connection, which is leaving as well.
            }
            long nowNanos = System.nanoTime();
            pause(pick(random, PAUSES_MS));
            if (random.nextBoolean() && !ids.isEmpty()) {
                ask(request(ids.remove(0), bodyBytes)); // may be sent now, at any time
            }
            ids.forEach(id -> leftNanos.put(id, nowNanos));
        }
    }

    private void ask(String request) {
        try (RawConnection client = sidecar.client()) {
            client.setReadTimeoutMs(LOST_AFTER_MS);
            client.send(request).read();
        } catch (SocketTimeoutException e) {
            faults.add("no answer to a repeated identifier");
        } catch (IOException e) {
            recordClosed();
        }
    }

    private void recordClosed() {
        if (!stopping) {
            faults.add("closed without an answer");
        }
    }

    /** Sends one request after another, on connections that it keeps for as long as the sidecar leaves them open. */
    private void askInTurn(Random random) {
        while (sidecar.process().isAlive()) {
            try (RawConnection client = sidecar.client()) {
                client.setReadTimeoutMs(LOST_AFTER_MS);
                while (true) {
                    client.send(request(nextId(), pick(random, BODY_BYTES))).read();
                    pause(pick(random, PAUSES_MS));
                }
            } catch (SocketTimeoutException e) {
                faults.add("no answer to an ordinary request");
            } catch (IOException e) {
                recordClosed();
                pause(1);
            }
        }
    }

    private void start(SidecarFixture fixture, StubServer discovery) throws Exception {
        ObjectNode config = fixture.config(null).put("discovery", discovery.address());
        for (int i = 0; i < 2; i++) {
            ((ObjectNode) config.at("/settings/lanes/" + i))
                    .put("hardLimitMs", DEADLINE_MS)
                    .put("aimMs", DEADLINE_MS / 3);
        }
        sidecar = SidecarProcess.start(folder, config, Map.of());
        sidecar.awaitReady();
    }

    private static Thread start(Runnable action) {
        Thread thread = new Thread(action);
        thread.start();
        return thread;
    }

    /** Guards against attempts after a client has left, second runs and lost answers, at moments nobody has thought of. */
    @ParameterizedTest
    @MethodSource("seeds")
    void leavingClientsCauseNoAttemptsAndNoLostAnswers(long seed) throws Exception {
        Random random = new Random(seed);
        List<StubServer> upstreams = new ArrayList<>();
        List<String> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Random draws = new Random(random.nextLong());
            upstreams.add(StubServer.answering(request -> serve(request, draws)));
            members.add(SidecarFixture.member("u" + i, upstreams.get(i).address(), "active"));
        }
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer discovery =
                        StubServer.discovery(SidecarFixture.list(1, true, members.toArray(new String[0])))) {
            start(fixture, discovery);
            runLoad(random);
            assertTrue(sidecar.peakMemoryKb() <= SidecarProcess.MEMORY_LIMIT_KB);
            stopWithSignals(random);
        } finally {
            sidecar.close();
            for (StubServer upstream : upstreams) {
                upstream.close();
            }
        }
        assertEquals(List.of(), List.copyOf(faults), "seed " + seed);
        assertEquals(List.of(), sentAfterLeaving(), "seed " + seed + ": sent after the client had left");
        runs.values().removeIf(count -> count.get() == 1);
        assertEquals(Map.of(), runs, "seed " + seed + ": ran twice");
    }

    private void runLoad(Random random) throws Exception {
        List<Socket> crowd = new ArrayList<>();
        boolean crowded = random.nextInt(3) == 0;
        for (int i = 0; i < CROWD && crowded; i++) {
            crowd.add(sidecar.socket());
        }
        List<Thread> leaving = new ArrayList<>();
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            Random draws = new Random(random.nextLong());
            leaving.add(start(() -> leaveAtRandom(draws)));
        }
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            Random draws = new Random(random.nextLong());
            start(() -> askInTurn(draws));
        }
        pause(LOAD_MS);
        loadEnded = true;
        for (Thread thread : leaving) {
            thread.join();
        }
        for (Socket idle : crowd) {
            idle.close();
        }
    }

    /** Ordinary clients go on with the connections that stay open, up to the earliest kill. */
    private void stopWithSignals(Random random) throws Exception {
        for (int i = random.nextInt(3); i > 0; i--) {
            sidecar.signal("HUP");
        }
        stopping = true;
        sidecar.signal("TERM");
        if (random.nextBoolean()) {
            sidecar.signal("HUP");
            sidecar.signal("TERM");
        }
        if (sidecar.process().waitFor(KILL_MS, TimeUnit.MILLISECONDS)) {
            assertEquals(0, sidecar.process().exitValue());
        }
    }

    private List<String> sentAfterLeaving() {
        List<String> late = new ArrayList<>();
        for (Attempt attempt : attempts) {
            Long left = leftNanos.get(attempt.id());
            if (left != null && attempt.receivedNanos() - left > TimeUnit.MILLISECONDS.toNanos(SENT_AFTER_LEAVING_MS)) {
                late.add(attempt.id());
            }
        }
        return late;
    }
}
