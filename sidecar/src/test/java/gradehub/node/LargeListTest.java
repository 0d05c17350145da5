package gradehub.node;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A list of upstreams as large as the largest expected fleet. */
class LargeListTest {

    private static final int UPSTREAMS = 1024;

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
}
