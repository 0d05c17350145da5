package review;

import java.nio.file.Path;

/** Runs one case; the exit status is its verdict. */
final class Main {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MS = 110_000;

    private Main() {}

    public static void main(String[] args) {
        Rig.thread("watchdog", () -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("could not run: it took too long");
            System.exit(COULD_NOT_RUN);
        });
        int verdict = COULD_NOT_RUN;
        try {
            Path record = Path.of(args[1]);
            verdict = switch (args[0]) {
                case "slow-long" -> SlowLong.run(record);
                case "slow-peers" -> SlowPeers.run(record);
                case "late-stop" -> LateStop.run(record);
                default -> COULD_NOT_RUN;
            };
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.out.println(
                verdict == HELD ? "the rule held" : verdict == BROKEN ? "the rule was broken" : "could not run");
        System.exit(verdict);
    }
}
