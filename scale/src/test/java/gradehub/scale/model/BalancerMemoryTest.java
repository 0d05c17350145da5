package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer;
import gradehub.scale.TestExperiments;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.openjdk.jol.info.GraphLayout;

/** The memory that a decision module holds for each upstream on its list: counted objects, not a measured heap. */
class BalancerMemoryTest {

    private static final int MOST_BYTES_OF_A_MEMBER = 700;

    @BeforeAll
    static void allowFieldsOfRecords() {
        System.setProperty("jol.magicFieldOffset", "true");
    }

    /** All that a module reaches but its host's side, after it has been told a list of this length. */
    private static long stateBytes(int listed) {
        Balancer balancer = new NoOpBalancerHost(TestExperiments.small(), listed).balancer();
        return GraphLayout.parseInstance(balancer).totalSize();
    }

    @Test
    void stateIsLinearInTheLengthOfTheList() {
        long at100 = stateBytes(100);
        long at200 = stateBytes(200);
        long at400 = stateBytes(400);
        long at800 = stateBytes(800);
        double perMember = (at800 - at100) / 700.0;
        System.out.printf("state of a module: %.1f bytes a member, %d at 100, %d at 800%n", perMember, at100, at800);
        assertTrue(perMember < MOST_BYTES_OF_A_MEMBER, perMember + " bytes a member");
        assertEquals(perMember, (at200 - at100) / 100.0, 0.1 * perMember);
        assertEquals(perMember, (at400 - at200) / 200.0, 0.1 * perMember);
        assertEquals(perMember, (at800 - at400) / 400.0, 0.1 * perMember);
    }
}
