package umberkeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a sidecar does before it listens. */
class RehearsalTest {

    /** On a part of a core each request takes far longer than here; that must not make it end half compiled. */
    @Test
    void aSlowStartStillRehearsesEachRequest() throws Exception {
        assertEquals(Rehearsal.REQUESTS, Rehearsal.rehearse(1));
    }
}
