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
            members.add(Rig.member("u" + i, Rig.address(at), phase));
        }
        return members.toArray(new String[0]);
    }

    /** They come as a whole list, change all at once, move, and come again, for a sidecar among as many others. */
    @Test
    void aThousandUpstreamsAreReadChangedAndServed() throws Exception {
        try (Rig rig = new Rig()) {
            ServerSocket first = rig.listener();
            ServerSocket second = rig.listener();
            rig.startWith(null, "\"instances\":1,", "\"instances\":" + UPSTREAMS + ",");
            Wire watch = rig.watch();
            watch.send(Rig.chunk(Rig.list(1, true, members("active", first))));
            rig.await(() -> rig.sidecar().engine().listed() == UPSTREAMS);
            rig.assertServed(1, first);
            watch.send(Rig.chunk(Rig.list(2, false, members("leaving", first))));
            watch.send(Rig.chunk(Rig.list(3, false, members("left", first))));
            rig.await(() -> rig.sidecar().engine().listed() == 0);
            watch.send(Rig.chunk(Rig.list(4, false, members("active", second))));
            rig.await(() -> rig.sidecar().engine().listed() == UPSTREAMS);
            rig.assertServed(2, second);
        }
    }
}
