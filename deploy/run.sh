#!/bin/sh
# Starts a sidecar with a heap that follows from limits.memory_mb in the configuration: a JVM cannot change the limit of
# its heap once it runs. docs/MEMORY.md has the sum of everything that the process can hold.
#
# Only the shell itself is used: where the sidecar runs, it may not start other processes.

# The limit if the configuration names none; Config.DEFAULT_MEMORY_MB is the same.
memory_mb=192

# Prints nothing; sets memory_mb. The line is split first: matching a pattern takes quadratic time on a long line.
read_memory_mb() {
    set -f
    while IFS= read -r line || [ -n "$line" ]; do
        old_ifs=$IFS
        IFS=',{}'
        # shellcheck disable=SC2086 # split on purpose
        set -- $line
        IFS=$old_ifs
        for field; do
            case $field in
                *'"memory_mb"'*:*)
                    value=${field#*:}
                    value=${value#"${value%%[! ]*}"}
                    value=${value%%[!0-9]*}
                    memory_mb=${value:-$memory_mb}
                    return
                    ;;
            esac
        done
    done < "$1"
}

if [ -r "${BALANCER_CONFIG:-}" ]; then
    read_memory_mb "$BALANCER_CONFIG"
fi

# What the process holds beside its heap; the sidecar rejects a limit that leaves too little for the heap.
non_heap_mb=76
min_heap_mb=24
# More would not be used: no list and no number of connections that the platform has needs it.
max_heap_mb=96
# The platform prices what a process holds above nine tenths of its limit.
heap_mb=$((memory_mb * 9 / 10 - non_heap_mb))
[ "$heap_mb" -le "$max_heap_mb" ] || heap_mb=$max_heap_mb
[ "$heap_mb" -ge "$min_heap_mb" ] || heap_mb=$min_heap_mb

# One arena: each further one may keep 64 MB of freed memory of the JVM's own.
export MALLOC_ARENA_MAX=1

exec java -XX:SharedArchiveFile=sidecar/target/gradehub.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto \
    -Xms$((heap_mb / 2))m -Xmx${heap_mb}m -Xmn$((heap_mb / 4))m -XX:MaxMetaspaceSize=24m \
    -XX:ReservedCodeCacheSize=12m -XX:MaxDirectMemorySize=1m -Xss512k -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError \
    -jar sidecar/target/gradehub.jar serve
