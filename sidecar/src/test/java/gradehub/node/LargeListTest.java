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
            members.add(Rig.member("u" + i, Rig.address(listener), phase));
        }
        return members.toArray(new String[0]);
    }

    /** The full list arrives, all members leave at once, and the list returns at another address; 1024 sidecars share it. */
    @Test
    void thousandUpstreamsAreAddedRemovedAndReplaced() throws Exception {
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
