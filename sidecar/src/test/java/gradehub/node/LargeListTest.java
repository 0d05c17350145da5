package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A list of upstreams as large as the largest expected fleet. */
class LargeListTest {

    private static final int UPSTREAMS = 1024;

    /** The largest fleet, of which six in ten upstreams are replaced. */
    private static final int RELEASE_UPSTREAMS = 3200;

    private static final int REPLACED = 1920;
    private static final int REMAINING_MS = 720;
    /** A request is lost if its answer comes later than half a second after the client's waiting time. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;

    private static String[] members(String phase, ServerSocket listener) {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            members.add(SidecarFixture.member("u" + i, SidecarFixture.address(listener), phase));
        }
        return members.toArray(new String[0]);
    }

    /** The full list arrives, all members leave at once, and the list returns at another address; 1024 sidecars share it. */
    @Test
    void thousandUpstreamsAreAddedRemovedAndReplaced() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket first = fixture.listener();
            ServerSocket second = fixture.listener();
            fixture.startWithSetting(null, "\"instances\":1,", "\"instances\":" + UPSTREAMS + ",");
            RawConnection watch = fixture.acceptWatch();
            watch.send(SidecarFixture.chunk(SidecarFixture.list(1, true, members("active", first))));
            fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == UPSTREAMS);
            fixture.assertServed(1, first);
            watch.send(SidecarFixture.chunk(SidecarFixture.list(2, false, members("leaving", first))));
            watch.send(SidecarFixture.chunk(SidecarFixture.list(3, false, members("left", first))));
            fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == 0);
            watch.send(SidecarFixture.chunk(SidecarFixture.list(4, false, members("active", second))));
            fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == UPSTREAMS);
            fixture.assertServed(2, second);
        }
    }

    /** Starts a sidecar that has the largest fleet, all of it at this address; returns its watch. */
    private static RawConnection startLargestFleet(SidecarFixture fixture, String address) throws Exception {
        fixture.startWithSetting(null, "\"instances\":1,", "\"instances\":100,");
        RawConnection watch = fixture.acceptWatch();
        String[] members = new String[RELEASE_UPSTREAMS];
        for (int i = 0; i < members.length; i++) {
            members[i] = SidecarFixture.member("u" + i, address, "active");
        }
        watch.send(SidecarFixture.chunk(SidecarFixture.list(1, true, members)));
        fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == RELEASE_UPSTREAMS);
        return watch;
    }

    /** Returns the changes of a release, each in an object of its own. */
    private static String release(String address) {
        StringBuilder changes = new StringBuilder();
        for (int i = 0; i < REPLACED; i++) {
            String[] entries = {
                SidecarFixture.member("u" + i, address, "leaving"),
                SidecarFixture.member("u" + (RELEASE_UPSTREAMS + i), address, "active"),
                SidecarFixture.member("u" + i, address, "left")
            };
            for (String entry : entries) {
                changes.append(SidecarFixture.chunk(SidecarFixture.list(2 + i, false, entry)));
            }
        }
        return changes.toString();
    }

    private static Thread sendInBackground(RawConnection watch, String changes) {
        Thread sender = new Thread(() -> {
            try {
                watch.send(changes);
            } catch (IOException e) {
                // The fixture has been closed; the test has failed before.
            }
        });
        sender.start();
        return sender;
    }

    /** Guards against review case 6: nobody got an answer while the changes of a release were applied. */
    @Test
    void requestsAreAnsweredWhileAReleaseIsTold() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer upstream = StubServer.upstream()) {
            RawConnection watch = startLargestFleet(fixture, upstream.address());
            fixture.learnLatency();
            String last = SidecarFixture.list(
                    2 + REPLACED, false, SidecarFixture.member("last", upstream.address(), "active"));
            Thread sender = sendInBackground(watch, release(upstream.address()) + SidecarFixture.chunk(last));
            try (RawConnection client = fixture.client()) {
                client.setReadTimeoutMs(LOST_AFTER_MS);
                int requests = 0;
                while (upstreamCount(fixture) != RELEASE_UPSTREAMS + 1) {
                    String id = SidecarFixture.requestId(requests++);
                    client.send(SidecarFixture.getRequest(id, REMAINING_MS));
                    assertEquals(200, client.read().status());
                }
                assertTrue(requests > 0, "the release was over before the first request");
            }
            sender.join();
        }
    }

    /** Returns the count by a task, which runs before the event loop has applied all that is told. */
    private static int upstreamCount(SidecarFixture fixture) throws Exception {
        return fixture.sidecar()
                .loop()
                .submit(fixture.sidecar().engine()::upstreamCount)
                .get();
    }

    /** Guards against review case 6: all changes that had arrived were applied in one turn of the event loop. */
    @Test
    void changesThatArriveAtOnceAreAppliedInManyTurns() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket upstream = fixture.listener();
            RawConnection watch = startLargestFleet(fixture, SidecarFixture.address(upstream));
            String[] changes = new String[REPLACED];
            for (int i = 0; i < REPLACED; i++) {
                String left = SidecarFixture.member("u" + i, SidecarFixture.address(upstream), "left");
                changes[i] = SidecarFixture.chunk(SidecarFixture.list(2 + i, false, left));
            }
            TurnObserver observer = TurnObserver.start(
                    fixture.sidecar().loop(),
                    () -> RELEASE_UPSTREAMS - fixture.sidecar().engine().upstreamCount());
            Thread sender = sendInBackground(watch, String.join("", changes));
            long most = observer.mostInOneTurnUntil(REPLACED);
            sender.join();
            int readable = ShortReads.MAX_READ_BYTES / changes[0].length() + 1;
            assertTrue(most <= readable, most + " changes in one turn, " + readable + " in one read");
        }
    }
}
