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
class DescriptorTest {

    private Rig rig;
    private ServerSocket upstream;
    private final AtomicBoolean out = new AtomicBoolean();

    @BeforeEach
    void open() throws Exception {
        rig = new Rig();
        upstream = rig.listener();
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
    }

    private LookingChannel opened() {
        if (out.get()) {
            throw new ChannelException("Failed to open a socket.");
        }
        return new LookingChannel();
    }

    private String list() {
        return Rig.list(1, true, Rig.member("u1", Rig.address(upstream), "active"));
    }

    @Test
    void aWatchThatFindsNoSocketIsTriedAgain() throws Exception {
        rig.start(list(), this::opened);
        Wire watch = rig.watch();
        out.set(true);
        watch.close();
        rig.await(() -> rig.sidecar().watchPauseMs() > 0); // the first try has found none
        out.set(false);
        Rig.accept(rig.discovery).read();
        rig.assertServed(1, upstream);
    }

    @Test
    void anAttemptThatFindsNoSocketHasFailedAndNothingElse() throws Exception {
        rig.start(list(), this::opened);
        rig.watch();
        out.set(true);
        try (Wire client = rig.client()) {
            client.send(Rig.post(Rig.id(1), "x"));
            assertEquals(503, client.read().status(), "it never ran: coming again is harmless");
        }
        out.set(false);
        rig.assertServed(2, upstream);
    }

    /** Clients that say nothing more hold all that they may: discovery and upstreams have their own part. */
    @Test
    void clientsThatRestTakeNoSocketFromDiscoveryOrUpstreams() throws Exception {
        int room = 20;
        rig.start(list(), SocketBudget.LEAST + room);
        Wire watch = rig.watch();
        List<Wire> resting = new ArrayList<>();
        for (int i = 0; i < room; i++) {
            resting.add(rig.client());
        }
        rig.await(() -> rig.sidecar().clients() >= room / 2);
        watch.close();
        Rig.accept(rig.discovery).read();
        rig.assertServed(1, upstream);
        for (Wire client : resting) {
            client.close();
        }
    }
}
