package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.ListKind;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UpstreamListTest {

    private static final double TOLERANCE = 1e-9;

    private static final int LARGE_FLEET = 3200;
    private static final int LARGE_FLEET_SIDECARS = 100;
    /** Six in ten upstreams. */
    private static final int REPLACED = 1920;
    /** The processor time that a day may take beyond that of a fleet of the usual size, in seconds. */
    private static final double EXTRA_CPU_SECONDS = 0.02 + 0.12 * LARGE_FLEET / 1000;

    private static UpstreamList list(int sidecars, int upstreams) {
        UpstreamList list = new UpstreamList(sidecars, new SplittableRandom(3));
        List<Upstream> entries = new ArrayList<>();
        for (int id = 1; id <= upstreams; id++) {
            entries.add(FakeSidecar.upstream(id, Status.READY, 0));
        }
        list.apply(0, ListKind.FULL, entries);
        return list;
    }

    private static void change(UpstreamList list, int id, Status status, double startedMs) {
        list.apply(0, ListKind.DELTA, List.of(FakeSidecar.upstream(id, status, startedMs)));
    }

    private static double sumOfShares(UpstreamList list) {
        return list.members.stream().mapToDouble(member -> member.share).sum();
    }

    @Test
    void allOfFewUpstreamsAreMembersWithEqualShares() {
        UpstreamList list = list(100, 4);
        assertEquals(4, list.members.size());
        for (UpstreamState member : list.members) {
            assertEquals(0.25, member.share, TOLERANCE);
        }
    }

    @Test
    void subsetHasTenMembersOrMoreIfSidecarsAreFew() {
        assertEquals(10, list(1000, 100).members.size());
        assertEquals(16, list(50, 100).members.size()); // so that each upstream is in the subsets of eight sidecars
    }

    @Test
    void drainingMemberIsReplacedAtTheMeanShare() {
        UpstreamList list = list(1000, 11);
        UpstreamState drained = list.members.get(0);
        change(list, drained.id, Status.DRAINING, 0);
        assertEquals(10, list.members.size());
        assertFalse(list.members.contains(drained));
        assertEquals(0.1, list.members.get(9).share, TOLERANCE);
        assertEquals(1, sumOfShares(list), TOLERANCE);
    }

    @Test
    void upstreamMissingFromAFullListIsRemoved() {
        UpstreamList list = list(1, 3);
        list.apply(0, ListKind.FULL, List.of(FakeSidecar.upstream(2, Status.READY, 0)));
        assertEquals(1, list.members.size());
        assertNull(list.find(1));
        assertSame(list.members.get(0), list.find(2));
        assertEquals(1, sumOfShares(list), TOLERANCE);
    }

    @Test
    void restartedUpstreamHasNewState() {
        UpstreamList list = list(1, 3);
        UpstreamState before = list.find(2);
        change(list, 2, Status.READY, 500);
        assertNotSame(before, list.find(2));
        assertFalse(list.members.contains(before));
        assertTrue(list.members.contains(list.find(2)));
        UpstreamState after = list.find(2);
        change(list, 2, Status.READY, 500);
        assertSame(after, list.find(2));
    }

    @Test
    void newUpstreamReplacesAMemberWithTheProbabilityForEvenCoverage() {
        int replaced = 0;
        for (int seed = 0; seed < 2000; seed++) {
            UpstreamList list = new UpstreamList(1000, new SplittableRandom(seed));
            list.apply(0, ListKind.FULL, List.of());
            List<Upstream> entries = new ArrayList<>();
            for (int id = 1; id <= 39; id++) {
                entries.add(FakeSidecar.upstream(id, Status.READY, 0));
            }
            list.apply(0, ListKind.FULL, entries);
            change(list, 40, Status.READY, 0);
            replaced += list.members.contains(list.find(40)) ? 1 : 0;
        }
        assertEquals(0.25, replaced / 2000.0, 0.03); // 10 of 40
    }

    @Test
    void initialConcurrencyIsDividedAmongTheSidecarsOfAnUpstream() {
        assertEquals(8, list(1, 4).initialConcurrency(), TOLERANCE);
        assertEquals(2, list(4, 4).initialConcurrency(), TOLERANCE);
        assertEquals(
                0.08,
                list(1000, 100).initialConcurrency(),
                TOLERANCE); // each is in the subsets of 100 of the 1,000 sidecars
    }

    @Test
    void weightFractionIsRelativeToTheMembers() {
        UpstreamList list = list(1, 4);
        assertEquals(0.25, list.weightFraction(list.find(1)), TOLERANCE);
        change(list, 1, Status.DRAINING, 0);
        assertEquals(1 / 3.0, list.weightFraction(list.find(2)), TOLERANCE);
    }

    /** Guards against review case 6: each change told of a large fleet took time in proportion to the fleet. */
    @Test
    void releaseInALargeFleetStaysWithinItsProcessorTime() {
        UpstreamList list = list(LARGE_FLEET_SIDECARS, LARGE_FLEET);
        long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int id = 1; id <= REPLACED; id++) {
            change(list, id, Status.DRAINING, 0);
            change(list, LARGE_FLEET + id, Status.READY, 0);
            change(list, id, Status.GONE, 0);
        }
        double seconds = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos) / 1e9;
        assertTrue(seconds <= EXTRA_CPU_SECONDS, seconds + " s");
    }

    /** The subset always has its size and holds ready upstreams, each once, whatever discovery tells. */
    @Test
    void subsetStaysWholeUnderRandomChanges() {
        SplittableRandom random = new SplittableRandom(1);
        UpstreamList list = list(20, 30);
        for (int step = 0; step < 20_000; step++) {
            List<Upstream> entries = new ArrayList<>();
            for (int count = random.nextInt(4); count >= 0; count--) {
                Status status = Status.values()[random.nextInt(Status.values().length)];
                entries.add(FakeSidecar.upstream(1 + random.nextInt(60), status, 1 + random.nextInt(3)));
            }
            list.apply(step, random.nextInt(50) == 0 ? ListKind.FULL : ListKind.DELTA, entries);
            assertSubsetIsWhole(list);
        }
    }

    private static void assertSubsetIsWhole(UpstreamList list) {
        int ready = 0;
        int listed = 0;
        Set<UpstreamState> current = new HashSet<>();
        for (int id = 1; id <= 60; id++) {
            UpstreamState upstream = list.find(id);
            listed += upstream == null ? 0 : 1;
            ready += upstream != null && upstream.isReady() ? 1 : 0;
            current.add(upstream);
        }
        int places = (int) Math.ceil(Math.max(10, 8 * listed / 20.0));
        assertTrue(list.members.size() >= Math.min(ready, places), list.members.size() + " members");
        assertEquals(list.members.size(), Set.copyOf(list.members).size());
        assertTrue(list.members.stream().allMatch(member -> member.isReady() && current.contains(member)));
        assertEquals(list.members.isEmpty() ? 0 : 1, sumOfShares(list), TOLERANCE);
        double fractions =
                list.members.stream().mapToDouble(list::weightFraction).sum();
        assertEquals(list.members.isEmpty() ? 0 : 1, fractions, TOLERANCE);
    }
}
