package gradehub.node;

import gradehub.Balancer.RequestClass;
import java.util.List;

/** How long after SIGTERM requests may be answered: the platform kills a process that has not ended in time. */
final class KillDeadline {

    /** SIGKILL comes this long after the longest deadline, both counted from SIGTERM. */
    private static final double KILL_DELAY_MS = 700;
    /** Longer deadlines count as this. */
    private static final double MAX_DEADLINE_MS = 3000;
    /** For the time from the signal to this process's clock, a process that is held up, and the client's read. */
    private static final double ANSWER_MARGIN_MS = 250;

    private KillDeadline() {}

    /** Returns the time after SIGTERM by which every request has to be answered. */
    static double answerTimeMs(List<RequestClass> classes) {
        double longestMs =
                classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(MAX_DEADLINE_MS);
        return Math.min(longestMs, MAX_DEADLINE_MS) + KILL_DELAY_MS - ANSWER_MARGIN_MS;
    }
}
