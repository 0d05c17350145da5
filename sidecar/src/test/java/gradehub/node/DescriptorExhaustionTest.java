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

/** When descriptors run out, only the operations that could not open a socket fail. */
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
        return SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"));
    }

    @Test
    void watchWithoutSocketIsRetried() throws Exception {
        fixture.start(list(), this::openChannel);
        RawConnection watch = fixture.acceptWatch();
        exhausted.set(true);
        watch.close();
        fixture.awaitOnEventLoop(() -> fixture.sidecar().watchPauseMs() > 0); // the first attempt found no descriptor
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
            assertEquals(503, client.read().status(), "it never ran: coming again is harmless");
        }
        exhausted.set(false);
        fixture.assertServed(2, upstream);
    }

    /** Idle clients hold all their sockets; discovery and upstreams have a separate portion. */
    @Test
    void idleClientsTakeNoSocketFromDiscoveryOrUpstreams() throws Exception {
        int room = 20;
        fixture.start(list(), SocketBudget.RESERVED_DESCRIPTORS + room);
        RawConnection watch = fixture.acceptWatch();
        List<RawConnection> idleClients = new ArrayList<>();
        for (int i = 0; i < room; i++) {
            idleClients.add(fixture.client());
        }
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() >= room / 2);
        watch.close();
        SidecarFixture.accept(fixture.discovery).read();
        fixture.assertServed(1, upstream);
        for (RawConnection client : idleClients) {
            client.close();
        }
    }
}
