#!/usr/bin/env bash
# Runs the hollow sizes behind docs/CAPACITY.md, one after the other, each into a file of docs/capacity.
# Arguments: folder of the built programs (default target/release), measured seconds of each run (default 20).
set -euo pipefail
cd "$(dirname "$0")/.."
programs=${1:-target/release}
seconds=${2:-20}
# edges replicas core heartbeat-ms changes-per-minute replica-changes-per-minute
sizes="
10 1000 3 1000 50 0
100 1000 6 1000 50 0
10 11000 12 3000 50 0
620 100 3 300 50 0
620 1000 6 1000 50 0
100 1000 6 1000 6 0
10 11000 8 3000 6 0
10 1000 6 1000 50 0
10 1000 3 1000 6 60
10 100 3 300 50 0
"
while read -r edges replicas core heartbeat changes replica_changes; do
    [ -n "$edges" ] || continue
    # The processes of the run before may still hold their addresses.
    sleep 3
    file="docs/capacity/hollow-e$edges-r$replicas-c$core-h$heartbeat-m$changes-k$replica_changes.json"
    echo "$file" >&2
    timeout 120 "$programs/woadreach-local-tier" hollow --programs "$programs" --edges "$edges" --replicas "$replicas" \
        --core "$core" --heartbeat-ms "$heartbeat" --changes-per-minute "$changes" \
        --replica-changes-per-minute "$replica_changes" --seconds "$seconds" --format json > "$file.new" \
        && ! grep -q '"memory_mb": 0.0,*$' "$file.new" && mv "$file.new" "$file" || { echo "failed: $file" >&2; rm -f "$file.new"; }
done <<< "$sizes"
