package gradehub.node;

/** Runs event loop tasks whose failure must not prevent later tasks. */
final class GuardedTask {

    private static final System.Logger LOG = System.getLogger("gradehub");

    private GuardedTask() {}

    /** Runs a task; an exception is logged and not propagated. */
    static void run(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, name + " failed", e);
        }
    }
}
