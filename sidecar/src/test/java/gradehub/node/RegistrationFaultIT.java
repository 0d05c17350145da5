package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradehub.node.SyscallFaults.Call;
import gradehub.node.SyscallFaults.Error;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Issue d1669c: the JDK ignores a failed epoll registration, so events of the unregistered descriptor were never
 * reported. Tests each kind of descriptor separately, with all registrations failing.
 */
class RegistrationFaultIT {

    private static final long SEED = 1;
    /** Time within which a request has to be answered. */
    private static final int REMAINING_MS = 2_000;
    /** SIGTERM lets accepted requests finish; without any, the exit takes about one second. */
    private static final long STOP_MS = 10_000;

    @TempDir
    private Path folder;

    private SyscallFaults faults;
    private SidecarFixture fixture;
    private RawConnection watch;

    @BeforeEach
    void open() throws Exception {
        faults = new SyscallFaults(folder, SEED);
        fixture = new SidecarFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void failRegistrations() {
        faults.set(Call.EPOLL_CTL, Error.ENOMEM, 100);
    }

    /** Starts a sidecar, sends it this list on its discovery watch, and waits until it is ready. */
    private SidecarProcess startWith(String list) throws Exception {
        SidecarProcess sidecar = SidecarProcess.start(folder, fixture.config(null), faults.environment());
        watch = fixture.acceptWatch().send(SidecarFixture.chunk(list));
        sidecar.awaitReady();
        return sidecar;
    }

    private void assertRegistrationsFailed() {
        assertTrue(faults.injectedCount(Call.EPOLL_CTL) > 0, "registrations failed");
    }

    private static void assertServed(RawConnection client, int number) throws Exception {
        client.send(SidecarFixture.getRequest(SidecarFixture.requestId(number), REMAINING_MS));
        assertEquals(200, client.read().status());
    }

    /** A listener, or the event loop's wakeup descriptor, received no events after a failed registration. */
    @Test
    void startsServesAndHandlesSignalsWithAllRegistrationsFailing() throws Exception {
        failRegistrations();
        try (StubServer upstream = StubServer.upstream();
                StubServer discovery = StubServer.discovery(SidecarFixture.listOf(upstream.address()));
                StubServer moved = StubServer.discovery(SidecarFixture.listOf(upstream.address()));
                SidecarProcess sidecar = SidecarProcess.start(
                        folder, fixture.config(null).put("discovery", discovery.address()), faults.environment())) {
            sidecar.awaitReady();
            try (RawConnection client = sidecar.client()) {
                assertServed(client, 1);
                assertServed(client, 2);
            }
            ObjectNode config = (ObjectNode) Config.JSON.readTree(Files.readString(sidecar.config()));
            Files.writeString(
                    sidecar.config(), config.put("discovery", moved.address()).toString());
            sidecar.signal("HUP");
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_MS);
            while (moved.requestCount() == 0) {
                assertTrue(
                        System.nanoTime() < deadlineNanos,
                        "the new discovery address receives no request: " + sidecar.log());
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertRegistrationsFailed();
            assertTrue(sidecar.exitsOnSigterm(STOP_MS), "SIGTERM ends the process");
            assertEquals(0, sidecar.process().exitValue());
        }
    }

    /** A client whose connection could not be registered received no answer. */
    @Test
    void servesClientWhoseRegistrationFails() throws Exception {
        try (StubServer upstream = StubServer.upstream();
                SidecarProcess sidecar = startWith(SidecarFixture.listOf(upstream.address()))) {
            failRegistrations();
            try (RawConnection client = sidecar.client()) {
                assertServed(client, 1);
                assertServed(client, 2);
            }
            assertRegistrationsFailed();
        }
    }

    /** An upstream connection that could not be registered never opened, or its answer was never read. */
    @Test
    void readsAnswerOfUpstreamWhoseRegistrationFails() throws Exception {
        ServerSocket upstream = fixture.listener();
        try (SidecarProcess sidecar = startWith(SidecarFixture.listOf(SidecarFixture.address(upstream)));
                RawConnection client = sidecar.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1), REMAINING_MS));
            answer(upstream, "Connection: close");
            assertEquals(200, client.read().status());
            failRegistrations();
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2), REMAINING_MS));
            answer(upstream, "Connection: close");
            assertEquals(200, client.read().status(), sidecar.log());
            assertRegistrationsFailed();
        }
    }

    /** Waits until the sidecar has sent a SYN to a port that does not answer yet. */
    private static void awaitConnecting(SidecarProcess sidecar, int port) throws Exception {
        Path network = Path.of("/proc", String.valueOf(sidecar.process().pid()), "net");
        String connecting = String.format(":%04X 02 ", port);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!Files.readString(network.resolve("tcp")).contains(connecting)
                && !Files.readString(network.resolve("tcp6")).contains(connecting)) {
            assertTrue(System.nanoTime() < deadlineNanos, "the sidecar does not connect");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Accepts one connection and answers the request on it. */
    private static void answer(ServerSocket upstream, String header) throws Exception {
        RawConnection connection = SidecarFixture.accept(upstream);
        connection.read();
        connection.send(SidecarFixture.answer("200 OK", "", header));
    }

    /** A discovery connection that could not be registered was repeatedly abandoned at the connect timeout. */
    @Test
    void readsListFromDiscoveryWhoseRegistrationFails() throws Exception {
        try (StubServer former = StubServer.upstream();
                StubServer next = StubServer.upstream();
                SidecarProcess sidecar = startWith(SidecarFixture.listOf(former.address()));
                RawConnection client = sidecar.client()) {
            assertServed(client, 1);
            failRegistrations();
            watch.close();
            try (RawConnection newWatch = fixture.acceptWatch()) {
                newWatch.send(SidecarFixture.chunk(
                        SidecarFixture.list(2, true, SidecarFixture.member("u2", next.address(), "active"))));
                int number = 2;
                long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REMAINING_MS);
                while (next.requestCount() == 0) {
                    assertTrue(System.nanoTime() < deadlineNanos, "the new list is not used: " + sidecar.log());
                    assertServed(client, number++);
                }
            }
            assertRegistrationsFailed();
        }
    }

    /** Output that waited for the socket to become writable was never written. */
    @Test
    void writesPendingOutputWhoseRegistrationFails() throws Exception {
        try (StubServer upstream = StubServer.upstream();
                SidecarProcess sidecar = startWith(SidecarFixture.listOf(upstream.address()));
                RawConnection client = sidecar.client()) {
            assertServed(client, 1);
            failRegistrations();
            faults.set(Call.WRITE, Error.EAGAIN, 50);
            for (int number = 2; number < 12; number++) {
                assertServed(client, number);
            }
            assertTrue(faults.injectedCount(Call.WRITE) > 0, "writes failed");
            assertRegistrationsFailed();
        }
    }

    /** A failed interest change made the selector return repeatedly; registrations with its replacement failed. */
    @Test
    void servesClientAfterFailedRegistrationWithRebuiltSelector() throws Exception {
        try (SidecarFixture.FullBacklogListener fullListener = new SidecarFixture.FullBacklogListener();
                SidecarProcess sidecar =
                        startWith(SidecarFixture.listOf(SidecarFixture.address(fullListener.listener)));
                RawConnection waiting = sidecar.client();
                RawConnection idle = sidecar.client()) {
            waiting.send(SidecarFixture.getRequest(SidecarFixture.requestId(1), REMAINING_MS));
            awaitConnecting(sidecar, fullListener.listener.getLocalPort());
            idle.send("GET /ready HTTP/1.1\r\n\r\n"); // once the event loop answers, it has registered the connect
            assertEquals(200, idle.read().status());
            failRegistrations();
            try (RawConnection upstream = fullListener.drainAndAccept()) {
                upstream.read();
                upstream.send(SidecarFixture.answer("200 OK", ""));
                assertEquals(200, waiting.read().status());
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
            while (!sidecar.log().contains("rebuilding Selector")) {
                assertTrue(System.nanoTime() < deadlineNanos, "the selector is not rebuilt: " + sidecar.log());
                TimeUnit.MILLISECONDS.sleep(1);
            }
            idle.send("GET /ready HTTP/1.1\r\n\r\n");
            idle.setReadTimeoutMs(REMAINING_MS);
            assertEquals(200, idle.read().status());
            assertRegistrationsFailed();
        }
    }
}
