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
 * Report d1669c: the runtime passes over a failed registration with epoll, and what was not registered was never heard.
 * Each kind of descriptor on its own, with all registrations failing.
 */
class RegistrationFaultIT {

    private static final long SEED = 1;
    /** In which a request has to be answered. */
    private static final int REMAINING_MS = 2_000;
    /** SIGTERM lets what is taken end, which takes about one second where nothing is. */
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

    private static String listOf(String address) {
        return SidecarFixture.list(1, true, SidecarFixture.member("u1", address, "active"));
    }

    /** A sidecar that has been told this list by a watch of the test's, and is ready. */
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

    /** A listener, or the descriptor that wakes the event loop, that could not be registered was never heard. */
    @Test
    void aSidecarThatCanRegisterNothingStartsAndServesAndHearsSignals() throws Exception {
        failRegistrations();
        try (StubServer upstream = StubServer.upstream();
                StubServer discovery = StubServer.discovery(listOf(upstream.address()));
                StubServer moved = StubServer.discovery(listOf(upstream.address()));
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
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_MS);
            while (moved.requestCount() == 0) {
                assertTrue(System.nanoTime() < untilNanos, "the new discovery is never called: " + sidecar.log());
                TimeUnit.MILLISECONDS.sleep(1);
            }
            assertRegistrationsFailed();
            assertTrue(sidecar.exitsOnSigterm(STOP_MS), "SIGTERM ends it");
            assertEquals(0, sidecar.process().exitValue());
        }
    }

    /** A client whose connection could not be registered had no answer. */
    @Test
    void aClientThatCannotBeRegisteredIsServed() throws Exception {
        try (StubServer upstream = StubServer.upstream();
                SidecarProcess sidecar = startWith(listOf(upstream.address()))) {
            failRegistrations();
            try (RawConnection client = sidecar.client()) {
                assertServed(client, 1);
                assertServed(client, 2);
            }
            assertRegistrationsFailed();
        }
    }

    /** A connection to an upstream that could not be registered never came up, or its answer was never read. */
    @Test
    void anUpstreamThatCannotBeRegisteredIsHeard() throws Exception {
        ServerSocket upstream = fixture.listener();
        try (SidecarProcess sidecar = startWith(listOf(SidecarFixture.address(upstream)));
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

    /** Waits until the sidecar has sent its first packet to a port that does not answer yet. */
    private static void awaitConnecting(SidecarProcess sidecar, int port) throws Exception {
        Path network = Path.of("/proc", String.valueOf(sidecar.process().pid()), "net");
        String connecting = String.format(":%04X 02 ", port);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!Files.readString(network.resolve("tcp")).contains(connecting)
                && !Files.readString(network.resolve("tcp6")).contains(connecting)) {
            assertTrue(System.nanoTime() < untilNanos, "it does not connect");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Accepts one connection and answers the request on it. */
    private static void answer(ServerSocket upstream, String header) throws Exception {
        RawConnection wire = SidecarFixture.accept(upstream);
        wire.read();
        wire.send(SidecarFixture.answer("200 OK", "", header));
    }

    /** A call to discovery that could not be registered was given up after the connect time, again and again. */
    @Test
    void discoveryThatCannotBeRegisteredIsHeard() throws Exception {
        try (StubServer former = StubServer.upstream();
                StubServer next = StubServer.upstream();
                SidecarProcess sidecar = startWith(listOf(former.address()));
                RawConnection client = sidecar.client()) {
            assertServed(client, 1);
            failRegistrations();
            watch.close();
            try (RawConnection again = fixture.acceptWatch()) {
                again.send(SidecarFixture.chunk(
                        SidecarFixture.list(2, true, SidecarFixture.member("u2", next.address(), "active"))));
                int number = 2;
                long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REMAINING_MS);
                while (next.requestCount() == 0) {
                    assertTrue(System.nanoTime() < untilNanos, "the new list is not used: " + sidecar.log());
                    assertServed(client, number++);
                }
            }
            assertRegistrationsFailed();
        }
    }

    /** Output that waited to be told of a writable socket was never written. */
    @Test
    void outputThatWaitsForAFailedRegistrationIsWritten() throws Exception {
        try (StubServer upstream = StubServer.upstream();
                SidecarProcess sidecar = startWith(listOf(upstream.address()));
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

    /** A change that failed made the selector return without end; with the next selector nothing was registered. */
    @Test
    void aClientThatIsLostToTheNextSelectorIsServed() throws Exception {
        try (SidecarFixture.FullBacklogListener gate = new SidecarFixture.FullBacklogListener();
                SidecarProcess sidecar = startWith(listOf(SidecarFixture.address(gate.listener)));
                RawConnection waiting = sidecar.client();
                RawConnection resting = sidecar.client()) {
            waiting.send(SidecarFixture.getRequest(SidecarFixture.requestId(1), REMAINING_MS));
            awaitConnecting(sidecar, gate.listener.getLocalPort());
            resting.send("GET /ready HTTP/1.1\r\n\r\n"); // an event loop that answers has registered the connect
            assertEquals(200, resting.read().status());
            failRegistrations();
            try (RawConnection upstream = gate.drainAndAccept()) {
                upstream.read();
                upstream.send(SidecarFixture.answer("200 OK", ""));
                assertEquals(200, waiting.read().status());
            }
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
            while (!sidecar.log().contains("rebuilding Selector")) {
                assertTrue(System.nanoTime() < untilNanos, "no other selector: " + sidecar.log());
                TimeUnit.MILLISECONDS.sleep(1);
            }
            resting.send("GET /ready HTTP/1.1\r\n\r\n");
            resting.setReadTimeoutMs(REMAINING_MS);
            assertEquals(200, resting.read().status());
            assertRegistrationsFailed();
        }
    }
}
