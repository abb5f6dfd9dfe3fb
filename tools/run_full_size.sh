#!/usr/bin/env bash
# Runs an experiment on a site in full size. Starts its platform, backend servers and
# entry instances as processes on loopback, and stops them at the end.
# Usage: tools/run_full_size.sh treasury|patrol EXPERIMENT [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
command -v buckthornshift >/dev/null || PATH="$PWD/.venv/bin:$PATH"
case "$1" in
treasury) n_zones=3 n_entries=9 zone_ms=0.5 ;;
patrol) n_zones=4 n_entries=8 zone_ms=1.4 ;;
esac
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -r "$folder"' EXIT
buckthornshift standin platform --port 9490 > "$folder/platform" & pids+=($!)
sleep 1
for i in $(seq 24); do
    buckthornshift standin backend --platform 127.0.0.1:9490 --name "server-$i" \
        --zone "zone-$((i % n_zones))" --zone-delay-ms "$zone_ms" \
        > "$folder/server-$i" & pids+=($!)
done
for i in $(seq "$n_entries"); do
    printf '{"instance_id": "entry-%s", "zone": "zone-%s", "platform": {"port": 9490}}' \
        "$i" "$((i % n_zones))" > "$folder/entry-$i.jsonc"
    buckthornshift serve "$folder/entry-$i.jsonc" > "$folder/entry-$i" & pids+=($!)
done
sleep 12
buckthornshift load run "$2" --platform 127.0.0.1:9490 --out "${3:-$folder/result.json}"
