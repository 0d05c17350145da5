package umberkeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

/** A fleet as large as any that is to be expected. */
class SizeTest {

    private static final int UPSTREAMS = 1024;

    private static String[] members(String phase, ServerSocket at) {
        List<String> members = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            members.add(Rig.member("u" + i, Rig.address(at), phase));
        }
        return members.toArray(new String[0]);
    }

    private static void assertServed(int id, Rig rig, ServerSocket upstream) throws Exception {
        try (Wire client = rig.client()) {
            client.send(Rig.post(Rig.id(id), "x"));
            Wire up = Rig.accept(upstream);
            assertEquals(Rig.id(id), up.read().header("X-Txn"));
            up.send(Rig.answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
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
            assertServed(1, rig, first);
            watch.send(Rig.chunk(Rig.list(2, false, members("leaving", first))));
            watch.send(Rig.chunk(Rig.list(3, false, members("left", first))));
            rig.await(() -> rig.sidecar().engine().listed() == 0);
            watch.send(Rig.chunk(Rig.list(4, false, members("active", second))));
            rig.await(() -> rig.sidecar().engine().listed() == UPSTREAMS);
            assertServed(2, rig, second);
        }
    }
}
