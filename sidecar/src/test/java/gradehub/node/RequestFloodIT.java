package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients of the packaged sidecar send many small requests, or pieces of them, at full speed beside an ordinary one. */
class RequestFloodIT {

    /** What the flood consists of; the sidecar answers all but the last kind itself. */
    private enum Flood {
        READINESS_CHECKS,
        READINESS_CHECKS_NOT_READ,
        READINESS_CHECKS_UNDER_NEW_NAMES,
        READINESS_CHECKS_IN_SMALL_CHUNKS,
        REFUSED_REQUESTS,
        FORWARDED_REQUESTS
    }

    private static final long FLOOD_MS = 5000;
    /** A closed connection keeps its port for a minute: without a pause the test would use up the ports of the machine. */
    private static final long ORDINARY_PAUSE_MS = 20;

    private static final int FIRST_REQUESTS = 20;
    private static final int REMAINING_MS = 1600;
    /** A request is lost if its answer comes later than half a second after the client's waiting time. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    /** A sidecar may be held up for this long; a flood has to delay others by less. */
    private static final long MAX_DELAY_MS = 150;

    private static final int BATCH_BYTES = 64 * 1024;
    private static final int CHUNKS = 10_000;
    /** As many as one request may have. */
    private static final int PEER_CHUNKS = 64_000;

    private static final int PEERS = 480;
    private static final int PEER_THREADS = 48;

    @TempDir
    private Path folder;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();

    private SidecarWithPeers started;
    private SidecarProcess sidecar;

    @BeforeEach
    void open() throws Exception {
        started = SidecarWithPeers.start(folder, Map.of());
        sidecar = started.process();
    }

    @AfterEach
    void close() throws Exception {
        started.close();
    }

    private String nextId() {
        return SidecarFixture.requestId(requests.incrementAndGet());
    }

    private String nextRequest(Flood flood) {
        return switch (flood) {
            case READINESS_CHECKS, READINESS_CHECKS_NOT_READ -> "GET /ready HTTP/1.1\r\n\r\n";
            case READINESS_CHECKS_UNDER_NEW_NAMES ->
                "GET /ready/" + nextId() + " HTTP/1.1\r\nX-" + nextId() + ": 1\r\n\r\n";
            case READINESS_CHECKS_IN_SMALL_CHUNKS ->
                "POST /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nb\r\n".repeat(CHUNKS)
                        + "0\r\n\r\n";
            case REFUSED_REQUESTS -> SidecarFixture.getRequest(nextId(), 0);
            case FORWARDED_REQUESTS -> SidecarFixture.getRequest(nextId(), REMAINING_MS);
        };
    }

    private byte[] nextBatch(Flood flood) {
        StringBuilder batch = new StringBuilder();
        while (batch.length() < BATCH_BYTES) {
            batch.append(nextRequest(flood));
        }
        return batch.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private Thread startThread(Runnable action) {
        Thread thread = new Thread(action);
        thread.start();
        return thread;
    }

    private void send(Socket client, Flood flood) {
        try {
            while (!stopped.get()) {
                client.getOutputStream().write(nextBatch(flood));
            }
        } catch (IOException e) {
            // The sidecar has ended the connection, or the test is over.
        }
    }

    private void discardAnswers(Socket client) {
        try {
            InputStream in = client.getInputStream();
            byte[] answers = new byte[BATCH_BYTES];
            while (in.read(answers) >= 0) {
                // The answers of the flood do not matter.
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    /** Returns how long an ordinary request takes, on a new connection. */
    private double ordinaryLatencyMs() throws IOException {
        long startNanos = System.nanoTime();
        try (RawConnection client = sidecar.client()) {
            client.setReadTimeoutMs(LOST_AFTER_MS);
            client.send(SidecarFixture.getRequest(nextId(), REMAINING_MS));
            assertEquals(200, client.read().status());
        }
        return (System.nanoTime() - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private List<Double> ordinaryLatenciesMs() throws IOException, InterruptedException {
        List<Double> latencies = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
        while (System.nanoTime() < endNanos) {
            latencies.add(ordinaryLatencyMs());
            TimeUnit.MILLISECONDS.sleep(ORDINARY_PAUSE_MS);
        }
        return latencies;
    }

    /** Guards against one client whose requests, answered by the sidecar itself, keep the event loop from all others. */
    @ParameterizedTest
    @EnumSource
    void floodOnOneConnectionDoesNotDelayOtherClients(Flood flood) throws Exception {
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            ordinaryLatencyMs(); // the sidecar learns the latency of the class
        }
        List<Double> latencies;
        Thread sender;
        try (Socket client = sidecar.socket()) {
            sender = startThread(() -> send(client, flood));
            if (flood != Flood.READINESS_CHECKS_NOT_READ) {
                startThread(() -> discardAnswers(client));
            }
            latencies = ordinaryLatenciesMs();
            stopped.set(true);
        }
        sender.join();
        double median = latencies.stream().sorted().toList().get(latencies.size() / 2);
        assertTrue(median <= MAX_DELAY_MS, "median " + median + " ms of " + latencies.size());
        assertTrue(sidecar.peakMemoryKb() <= SidecarProcess.MEMORY_LIMIT_KB, sidecar.peakMemoryKb() + " KB");
    }

    /** Sends many small chunks on each of many connections and goes; the sidecar has to read them all the same. */
    private void sendChunksAndGo(int peers) {
        byte[] chunks = ("POST /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\nb\r\n".repeat(PEER_CHUNKS))
                .getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < peers; i++) {
            try (Socket peer = sidecar.socket()) {
                peer.getOutputStream().write(chunks);
            } catch (IOException e) {
                // The sidecar has ended the connection.
            }
        }
    }

    /** Guards against review case 9: what many peers had sent at once kept the event loop from all other clients. */
    @Test
    void floodOnManyConnectionsDoesNotDelayOtherClients() throws Exception {
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            ordinaryLatencyMs(); // the sidecar learns the latency of the class
        }
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < PEER_THREADS; i++) {
            senders.add(startThread(() -> sendChunksAndGo(PEERS / PEER_THREADS)));
        }
        List<Double> latencies = ordinaryLatenciesMs();
        for (Thread sender : senders) {
            sender.join();
        }
        double most = latencies.stream().max(Double::compare).orElseThrow();
        assertTrue(most <= LOST_AFTER_MS, "at most " + most + " ms of " + latencies.size());
        assertTrue(sidecar.peakMemoryKb() <= SidecarProcess.MEMORY_LIMIT_KB, sidecar.peakMemoryKb() + " KB");
    }
}
