package gradehub.scale.model;

import java.util.List;

/** One message of a watch: the whole list or the entries that changed. */
record ListUpdate(int revision, boolean complete, List<ListEntry> entries) {}
