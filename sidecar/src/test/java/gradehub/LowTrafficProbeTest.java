package gradehub;

import static gradehub.LowTraffic.SAFE;
import static gradehub.LowTraffic.SIDECARS;
import static gradehub.LowTraffic.serve;
import static gradehub.LowTraffic.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Goal;
import gradehub.Balancer.Limits;
import gradehub.Balancer.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Probes sent before requests in a deployment of many sidecars, each with few requests. */
class LowTrafficProbeTest {

    private static FakeSidecar probing() {
        FakeSidecar sidecar = new FakeSidecar(
                settings(SIDECARS, true, new Limits(4, true, true, true, 0), true, new Goal(1, 0, 0), SAFE), 7);
        sidecar.listReady(2);
        return sidecar;
    }

    /** Answers all pending probes; upstream 1 reports many requests in progress and ends its probe as given. */
    private static void answerProbes(FakeSidecar sidecar, Outcome outcomeOfFirst) {
        while (!sidecar.probed.isEmpty()) {
            int upstream = sidecar.probed.remove(0);
            sidecar.balancer.probeEnded(
                    sidecar.now, upstream, upstream == 1 ? outcomeOfFirst : Outcome.OK, 1, new double[] {
                        upstream == 1 ? 30 : 0
                    });
        }
    }

    @Test
    void theSelectedUpstreamIsProbedAndSkippedWhileItIsLoaded() {
        // Incident i1d6ed3: sidecars that saw no queue themselves sent to upstreams that already had several requests
        // each in progress.
        FakeSidecar sidecar = probing();
        for (int i = 0; i < 40; i++) {
            int request = sidecar.request(0);
            answerProbes(sidecar, Outcome.OK);
            assertEquals(2, sidecar.attemptsOf(request).get(0).upstream);
            serve(sidecar, 50);
        }
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void anUnreachableUpstreamIsSkippedAndProbedUntilItAnswers() {
        FakeSidecar sidecar = probing();
        boolean readmitted = false;
        for (int i = 0; i < 60; i++) {
            sidecar.request(0);
            answerProbes(sidecar, Outcome.CONNECT_FAILED);
            assertEquals(2, sidecar.lastAttempt().upstream);
            serve(sidecar, 100);
        }
        assertTrue(sidecar.logs.get(0).contains("a probe found it out of reach"));
        for (int i = 0; i < 60; i++) {
            sidecar.request(0);
            while (!sidecar.probed.isEmpty()) {
                sidecar.balancer.probeEnded(sidecar.now, sidecar.probed.remove(0), Outcome.OK, 1, new double[] {0});
            }
            readmitted |= sidecar.lastAttempt().upstream == 1;
            serve(sidecar, 100);
        }
        assertTrue(readmitted);
    }

    @Test
    void anUnansweredProbeLosesNoRequest() {
        FakeSidecar sidecar = probing();
        int request = sidecar.request(0);
        sidecar.advance(1100);
        assertTrue(sidecar.ended(request) || !sidecar.attemptsOf(request).isEmpty());
        assertEquals(List.of(), sidecar.violations);
    }
}
