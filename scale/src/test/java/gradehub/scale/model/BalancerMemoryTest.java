package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer;
import gradehub.scale.TestExperiments;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.openjdk.jol.info.GraphLayout;

/** Guards against balancer memory that grows faster than the list of upstreams; counts object sizes, not heap usage. */
class BalancerMemoryTest {

    private static final int MAX_BYTES_PER_MEMBER = 700;

    @BeforeAll
    static void allowFieldOffsetsOfRecords() {
        System.setProperty("jol.magicFieldOffset", "true");
    }

    /** Bytes of all objects reachable from a balancer that has a list of this length; its host here holds no state. */
    private static long balancerBytes(int upstreams) {
        Balancer balancer = new NoOpBalancerHost(TestExperiments.small(), upstreams).balancer();
        return GraphLayout.parseInstance(balancer).totalSize();
    }

    @Test
    void memoryIsLinearInTheLengthOfTheList() {
        long at100 = balancerBytes(100);
        long at200 = balancerBytes(200);
        long at400 = balancerBytes(400);
        long at800 = balancerBytes(800);
        double perMember = (at800 - at100) / 700.0;
        System.out.printf(
                "balancer memory: %.1f bytes per member, %d at 100 members, %d at 800%n", perMember, at100, at800);
        assertTrue(perMember < MAX_BYTES_PER_MEMBER, perMember + " bytes per member");
        assertEquals(perMember, (at200 - at100) / 100.0, 0.1 * perMember);
        assertEquals(perMember, (at400 - at200) / 200.0, 0.1 * perMember);
        assertEquals(perMember, (at800 - at400) / 400.0, 0.1 * perMember);
    }
}
