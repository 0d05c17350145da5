package gradehub.scale.model;

import java.util.List;

/** One message of a watch: the full list or only the entries that have changed. */
record ListUpdate(int revision, boolean complete, List<ListEntry> entries) {}
