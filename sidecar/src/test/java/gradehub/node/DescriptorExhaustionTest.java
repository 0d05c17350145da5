package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When file descriptors run out, only the operations that can't open a socket fail. */
class DescriptorExhaustionTest {

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private final AtomicBoolean exhausted = new AtomicBoolean();

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private ReadAheadChannel openChannel() {
        if (exhausted.get()) {
            throw new ChannelException("Failed to open a socket.");
        }
        return new ReadAheadChannel();
    }

    private String list() {
        return SidecarFixture.listOf(SidecarFixture.address(upstream));
    }

    @Test
    void watchWithoutSocketIsRetried() throws Exception {
        fixture.start(list(), this::openChannel);
        RawConnection watch = fixture.acceptWatch();
        exhausted.set(true);
        watch.close();
        fixture.awaitOnEventLoop(() -> fixture.sidecar().watchPauseMs() > 0); // the first attempt got no descriptor
        exhausted.set(false);
        SidecarFixture.accept(fixture.discovery).read();
        fixture.assertServed(1, upstream);
    }

    @Test
    void onlyTheAttemptWithoutSocketFails() throws Exception {
        fixture.start(list(), this::openChannel);
        fixture.acceptWatch();
        exhausted.set(true);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertEquals(503, client.read().status(), "the request has not run, so a retry is harmless");
        }
        exhausted.set(false);
        fixture.assertServed(2, upstream);
    }

    /** Even when idle clients hold all client sockets, others remain for discovery and upstreams. */
    @Test
    void idleClientsTakeNoSocketFromDiscoveryOrUpstreams() throws Exception {
        int availableDescriptors = 20;
        fixture.start(list(), SocketBudget.RESERVED_DESCRIPTORS + availableDescriptors);
        RawConnection watch = fixture.acceptWatch();
        List<RawConnection> idleClients = new ArrayList<>();
        for (int i = 0; i < availableDescriptors; i++) {
            idleClients.add(fixture.client());
        }
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() >= availableDescriptors / 2);
        watch.close();
        SidecarFixture.accept(fixture.discovery).read();
        fixture.assertServed(1, upstream);
        for (RawConnection client : idleClients) {
            client.close();
        }
    }
}
