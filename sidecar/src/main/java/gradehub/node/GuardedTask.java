package gradehub.node;

/** Runs a step of the event loop whose failure must not stop what is to come after it. */
final class GuardedTask {

    private static final System.Logger LOG = System.getLogger("gradehub");

    private GuardedTask() {}

    /** Runs this; an exception is logged and goes no further. */
    static void run(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, name + " failed", e);
        }
    }
}
