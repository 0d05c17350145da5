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

/** Descriptors that have run out: whatever could not be opened for want of one, and nothing else, has failed. */
class DescriptorExhaustionTest {

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private final AtomicBoolean out = new AtomicBoolean();

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private ReadAheadChannel opened() {
        if (out.get()) {
            throw new ChannelException("Failed to open a socket.");
        }
        return new ReadAheadChannel();
    }

    private String list() {
        return SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"));
    }

    @Test
    void aWatchThatFindsNoSocketIsTriedAgain() throws Exception {
        fixture.start(list(), this::opened);
        RawConnection watch = fixture.acceptWatch();
        out.set(true);
        watch.close();
        fixture.awaitOnEventLoop(() -> fixture.sidecar().watchPauseMs() > 0); // the first try has found none
        out.set(false);
        SidecarFixture.accept(fixture.discovery).read();
        fixture.assertServed(1, upstream);
    }

    @Test
    void anAttemptThatFindsNoSocketHasFailedAndNothingElse() throws Exception {
        fixture.start(list(), this::opened);
        fixture.acceptWatch();
        out.set(true);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertEquals(503, client.read().status(), "it never ran: coming again is harmless");
        }
        out.set(false);
        fixture.assertServed(2, upstream);
    }

    /** Clients that say nothing more hold all that they may: discovery and upstreams have their own part. */
    @Test
    void clientsThatRestTakeNoSocketFromDiscoveryOrUpstreams() throws Exception {
        int room = 20;
        fixture.start(list(), SocketBudget.RESERVED_DESCRIPTORS + room);
        RawConnection watch = fixture.acceptWatch();
        List<RawConnection> resting = new ArrayList<>();
        for (int i = 0; i < room; i++) {
            resting.add(fixture.client());
        }
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() >= room / 2);
        watch.close();
        SidecarFixture.accept(fixture.discovery).read();
        fixture.assertServed(1, upstream);
        for (RawConnection client : resting) {
            client.close();
        }
    }
}
