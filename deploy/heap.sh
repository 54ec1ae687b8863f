# Sets HEAP, the JVM options of a heap that fits limits.memory_mb of $GW_CONFIG. Sourced by `run`, before it becomes the JVM.
# Only built-in commands: no further process may be started. A limit that can't be read counts as none.
heap_mb=48
if [ -r "$GW_CONFIG" ]; then
    while IFS= read -r line || [ -n "$line" ]; do
        case $line in
        *'"memory_mb"'*)
            limit=${line#*'"memory_mb"'}
            limit=${limit#*:}
            limit=${limit#"${limit%%[! ]*}"}
            limit=${limit%%[!0-9]*}
            # What a JVM takes besides its heap, in MB: slipfield.config.MemoryLimit has the same figure.
            case $limit in
            '' | 0* | ???????*) ;;
            *) heap_mb=$((limit - 60)) ;;
            esac
            break
            ;;
        esac
    done <"$GW_CONFIG"
fi
[ "$heap_mb" -gt 48 ] && heap_mb=48
[ "$heap_mb" -lt 16 ] && heap_mb=16
start_mb=24
[ "$heap_mb" -lt "$start_mb" ] && start_mb=$heap_mb
HEAP="-Xms${start_mb}m -Xmx${heap_mb}m"
