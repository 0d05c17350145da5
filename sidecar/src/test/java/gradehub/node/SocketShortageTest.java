package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that send nothing, or send their requests slowly, when they hold all the sockets that clients may have. */
class SocketShortageTest {

    private static final int AVAILABLE_DESCRIPTORS = 40;
    /** The share of the descriptors that the requests of clients may hold: half of the available ones here. */
    private static final int MAX_REQUESTS = 20;

    /** So many that closing them in turn, as sockets get free, would take longer than a request may. */
    private static final int SILENT_CLIENTS = 400;

    private static final int REMAINING_MS = 1600;
    /** A request is lost if its answer comes later than half a second after the client's waiting time. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    /** Long enough for the sidecar to look for sockets that it can free several times over. */
    private static final int SLOW_MS = 600;

    private SidecarFixture fixture;
    private StubServer upstream;
    private final List<RawConnection> slowClients = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = StubServer.upstream();
        fixture.start(
                SidecarFixture.listOf(upstream.address()), SocketBudget.RESERVED_DESCRIPTORS + AVAILABLE_DESCRIPTORS);
    }

    @AfterEach
    void close() throws Exception {
        for (RawConnection client : slowClients) {
            client.close();
        }
        upstream.close();
        fixture.close();
    }

    /** Asserts that a request on a new connection is served before it is lost. */
    private void assertNewClientIsServed() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.setReadTimeoutMs(LOST_AFTER_MS);
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1000), REMAINING_MS));
            assertEquals(200, client.read().status());
        }
    }

    /** Connects clients that send all of a request but its last byte. */
    private void connectSlowClients(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String request = SidecarFixture.getRequest(SidecarFixture.requestId(i));
            slowClients.add(fixture.client().send(request.substring(0, request.length() - 1)));
        }
    }

    /** Guards against review case 2: new connections were neither accepted nor shut while incomplete requests lasted. */
    @Test
    void incompleteRequestsDoNotKeepNewClientsWaiting() throws Exception {
        fixture.learnLatency();
        connectSlowClients(2 * AVAILABLE_DESCRIPTORS);
        assertNewClientIsServed();
        assertEquals(503, slowClients.get(0).read().status(), "the request that has taken longest is refused");
    }

    /** Guards against review case 8: requests waited in the backlog behind silent clients, each closed after 250 ms. */
    @Test
    void silentClientsDoNotKeepNewClientsWaiting() throws Exception {
        fixture.learnLatency();
        for (int i = 0; i < SILENT_CLIENTS; i++) {
            slowClients.add(fixture.client());
        }
        assertNewClientIsServed();
    }

    /** Guards against refusing slow clients that hold no more than their share of the descriptors. */
    @Test
    void slowClientsWithinTheirShareAreServed() throws Exception {
        connectSlowClients(MAX_REQUESTS - 1);
        RawConnection last = slowClients.get(MAX_REQUESTS - 2);
        last.setReadTimeoutMs(SLOW_MS);
        assertThrows(SocketTimeoutException.class, last::read);
        for (RawConnection client : slowClients) {
            assertEquals(200, client.send("\n").read().status());
        }
    }
}
