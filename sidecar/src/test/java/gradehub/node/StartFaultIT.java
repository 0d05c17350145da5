package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradehub.node.SyscallFaults.Call;
import gradehub.node.SyscallFaults.Error;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests startup with system calls that fail temporarily and with a stale list in the configuration. */
class StartFaultIT {

    private static final long SEED = 1;
    /** More calls of one kind than the JVM and a startup without retries make. */
    private static final int FAILURES = 20;

    @TempDir
    private Path folder;

    /** Incident c9ba44: a process that could not get a socket, port or configuration at once exited and did not serve. */
    @ParameterizedTest
    @CsvSource({
        "SOCKET, ENOBUFS",
        "SOCKET, EMFILE",
        "BIND, EADDRINUSE",
        "LISTEN, EADDRINUSE",
        "SETSOCKOPT, ENOMEM",
        "FCNTL, EINVAL",
        "OPEN_CONFIG, EIO"
    })
    void temporarilyFailingCallDelaysTheStartup(Call call, Error error) throws Exception {
        SyscallFaults faults = new SyscallFaults(folder, SEED);
        faults.set(call, error, 100);
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer upstream = StubServer.upstream();
                StubServer discovery = StubServer.discovery(SidecarFixture.listOf(upstream.address()));
                SidecarProcess sidecar = SidecarProcess.start(
                        folder, fixture.config(null).put("discovery", discovery.address()), faults.environment())) {
            faults.awaitInjected(call, FAILURES, sidecar.process());
            faults.clear(call);
            sidecar.awaitReady();
            try (RawConnection client = sidecar.client()) {
                assertEquals(
                        SidecarFixture.requestId(1),
                        client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)))
                                .read()
                                .body());
            }
        }
    }

    /** An error that no retry can fix still ends the process at once, with a message. */
    @Test
    void invalidConfigurationEndsTheStartup() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ObjectNode config = fixture.config(null);
            config.remove("seed");
            try (SidecarProcess sidecar =
                    SidecarProcess.start(folder, config, new SyscallFaults(folder, SEED).environment())) {
                assertTrue(sidecar.process().waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(2, sidecar.process().exitValue());
                assertTrue(sidecar.log().contains("seed: missing"), sidecar.log());
            }
        }
    }

    /**
     * Incident c9ba44, rule drain: a restarted sidecar served with the list of its configuration before discovery, which
     * was reachable, had answered. It sent to an upstream that had left while the sidecar was down.
     */
    @Test
    void restartedSidecarDoesNotServeWithTheOldListBeforeDiscoveryAnswers() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer departed = StubServer.upstream();
                StubServer current = StubServer.upstream()) {
            ServerSocket discovery = fixture.discovery;
            String known = SidecarFixture.listOf(departed.address());
            ObjectNode config = fixture.config(known);
            try (SidecarProcess sidecar =
                            SidecarProcess.start(folder, config, new SyscallFaults(folder, SEED).environment());
                    RawConnection watch = SidecarFixture.accept(discovery)) {
                watch.read();
                while (!sidecar.log().contains("waiting for the list")) {
                    assertFalse(sidecar.isReady(), "ready with a list of unknown age");
                    TimeUnit.MILLISECONDS.sleep(1);
                }
                assertFalse(sidecar.isReady());
                watch.send(SidecarFixture.watchAnswer(
                        SidecarFixture.list(2, true, SidecarFixture.member("u2", current.address(), "active"))));
                sidecar.awaitReady();
                try (RawConnection client = sidecar.client()) {
                    assertEquals(
                            SidecarFixture.requestId(1),
                            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)))
                                    .read()
                                    .body());
                }
                assertEquals(0, departed.requestCount());
                assertEquals(1, current.requestCount());
            }
        }
    }

    /** An unreachable discovery must not keep a sidecar from serving with the list of its configuration. */
    @Test
    void unreachableDiscoveryDoesNotPreventServingWithTheOldList() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer upstream = StubServer.upstream()) {
            String known = SidecarFixture.listOf(upstream.address());
            ObjectNode config = fixture.config(known).put("discovery", fixture.unusedAddress());
            try (SidecarProcess sidecar =
                    SidecarProcess.start(folder, config, new SyscallFaults(folder, SEED).environment())) {
                sidecar.awaitReady();
                try (RawConnection client = sidecar.client()) {
                    assertEquals(
                            SidecarFixture.requestId(1),
                            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)))
                                    .read()
                                    .body());
                }
            }
        }
    }
}
