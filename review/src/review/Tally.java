package review;

import java.util.ArrayList;
import java.util.List;

/** The results of one group of clients. */
final class Tally {

    private final String group;
    private final List<Client.Result> results = new ArrayList<>();

    Tally(String group) {
        this.group = group;
    }

    synchronized void add(Client.Result result) {
        results.add(result);
    }

    synchronized long count(Client.Ending ending) {
        return results.stream().filter(result -> result.ending() == ending).count();
    }

    synchronized long served() {
        return results.stream().filter(Client.Result::served).count();
    }

    synchronized String summary() {
        long answered = count(Client.Ending.ANSWERED);
        return group + ": " + results.size() + " requests, " + served() + " answered 200, " + (answered - served())
                + " refused or failed, " + count(Client.Ending.SILENT) + " with no answer until their time and "
                + Client.GRACE_MS + " ms were over, " + count(Client.Ending.CLOSED)
                + " whose connection the sidecar closed, " + count(Client.Ending.NOT_SENT) + " not sent whole";
    }
}
