#!/usr/bin/env bash
# Measures one entry instance. Starts a platform stand-in, four backend stand-ins of 64
# slots and the instance as processes on loopback, and stops them at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v buckthornshift >/dev/null || PATH="$PWD/.venv/bin:$PATH"
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -r "$folder"' EXIT
buckthornshift standin platform --port 9390 > "$folder/platform" & pids+=($!)
sleep 1
for i in 1 2 3 4; do
    buckthornshift standin backend --platform 127.0.0.1:9390 --name "server-$i" \
        --slots 64 > "$folder/server-$i" & pids+=($!)
done
echo '{"callers": {"port": 9391}, "platform": {"port": 9390}}' > "$folder/entry.jsonc"
buckthornshift serve "$folder/entry.jsonc" > "$folder/entry" & entry=$!; pids+=($entry)
sleep 2
libraries=$(python -c 'import blacksheep, click, eliot, grpc.aio, h11, httptools
import json5, msgspec, prometheus_client, uvicorn, xxhash
print([int(x.split()[1]) / 1024 for x in open("/proc/self/status") if "VmRSS" in x][0])')
python tools/measure_instance.py 9390 9391 "$entry" "$libraries"
