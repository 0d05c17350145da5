package gradehub.node;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A fleet as large as any that is to be expected. */
class LargeListTest {

    private static final int UPSTREAMS = 1024;

    private static String[] members(String phase, ServerSocket at) {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            members.add(SidecarFixture.member("u" + i, SidecarFixture.address(at), phase));
        }
        return members.toArray(new String[0]);
    }

    /** They come as a whole list, change all at once, move, and come again, for a sidecar among as many others. */
    @Test
    void aThousandUpstreamsAreReadChangedAndServed() throws Exception {
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
