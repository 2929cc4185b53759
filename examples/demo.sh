#!/usr/bin/env bash
# Run online and batch work on stand-ins and nine daemons in three zones.
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait || true
  rm -rf "$work_dir"
}
trap stop EXIT

hash_key() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
start() { "$@" 2>>"$work_dir/log" & pids+=($!); }
zones=(jhb-north pta-east cpt-south)
regions=(gauteng gauteng western-cape)

echo '== stand-ins: a platform, six engines, three plain services'
start gentiantrestle-standin platform 17000
for i in 1 2 3 4 5 6; do start gentiantrestle-standin engine $((17100 + i)); done
for i in 1 2 3; do start gentiantrestle-standin service $((17200 + i)); done

echo '== nine daemons in three availability zones'
peers=$(seq -s, -f '127.0.0.1:%g' 17401 17409)
for i in 1 2 3 4 5 6 7 8 9; do
  zone=$(((i - 1) / 3))
  start gentiantrestled --instance="entry-$i" \
    --zone="${zones[$zone]}" --region="${regions[$zone]}" \
    --http_port=$((17300 + i)) --peer_port=$((17400 + i)) \
    --store=127.0.0.1:17000 --peers="$peers" \
    --admin_key_hash="$(hash_key operator-key)"
done

python3 - "$work_dir/config.json" "$(hash_key booking-key)" <<'PY'
import json, sys
zones = ['jhb-north', 'pta-east', 'cpt-south']
engines = {f'engine-{i}': zones[(i - 1) // 2] for i in range(1, 7)}
services = {f'service-{i}': zones[i - 1] for i in range(1, 4)}
upstreams = {
    name: {'zone': zone, 'kind': 'engine', 'slots': 16,
           'address': f'127.0.0.1:{17100 + int(name[-1])}'}
    for name, zone in engines.items()
}
upstreams |= {
    name: {'zone': zone, 'kind': 'service', 'slots': 64,
           'address': f'127.0.0.1:{17200 + int(name[-1])}'}
    for name, zone in services.items()
}
json.dump({
    'upstreams': upstreams,
    'deployments': {
        'assistant-models': {'model': 'assistant', 'version': '1',
                             'upstreams': sorted(engines)},
        'bookings-app': {'model': 'bookings', 'version': '1',
                         'upstreams': sorted(services)},
    },
    'endpoints': {
        'assistant': {'deployment': 'assistant-models', 'max_prompt': 20000},
        'bookings': {'deployment': 'bookings-app', 'max_prompt': 1000},
    },
    'clients': {'mokoena': {'key_hashes': [sys.argv[2]]}},
}, open(sys.argv[1], 'w'))
PY

wait_for() {
  for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done
  echo "timed out waiting for: $*" >&2; cat "$work_dir/log" >&2; exit 1
}
operator() { GENTIANTRESTLE_KEY=operator-key gentiantrestle "$@"; }
client() { GENTIANTRESTLE_KEY=booking-key gentiantrestle "$@"; }

echo '== the operator reads the difference and applies it'
wait_for operator --server=127.0.0.1:17301 status
operator --server=127.0.0.1:17301 --yes config apply "$work_dir/config.json"
for i in 1 2 3 4 5 6 7 8 9; do
  wait_for client --server=127.0.0.1:1730$i --max_tokens=1 complete assistant hi
done

echo '== an online answer, as a stream, from the other region'
client --server=127.0.0.1:17309 --max_tokens=12 complete assistant \
  'sort a cluttered spare room'

echo '== a booking, sent twice with one key: it runs once'
for i in 2 8; do
  curl -s -H 'Authorization: Bearer booking-key' -H 'Idempotency-Key: quote-1' \
    -d '{"room": 4}' "http://127.0.0.1:1730$i/v1/services/bookings/quote"
  echo
done

echo '== a batch job of 1,000 items, and its results'
python3 - "$work_dir/items.jsonl" <<'PY'
import json, sys
with open(sys.argv[1], 'w') as lines:
    for i in range(1000):
        body = {'model': 'assistant', 'prompt': f'note {i}', 'max_tokens': 8}
        json.dump({'custom_id': f'note-{i}', 'url': '/v1/completions',
                   'body': body}, lines)
        lines.write('\n')
PY
job=$(client --server=127.0.0.1:17304 --json jobs submit "$work_dir/items.jsonl" \
  | python3 -c 'import json, sys; print(json.load(sys.stdin)["id"])')
client --server=127.0.0.1:17305 jobs follow "$job"
client --server=127.0.0.1:17306 jobs results "$job" >"$work_dir/results.jsonl"
head -2 "$work_dir/results.jsonl"
echo "results: $(wc -l <"$work_dir/results.jsonl") lines," \
  "$(sort -u "$work_dir/results.jsonl" | wc -l) different"

echo '== a bad request gets an error with a remedy'
client --server=127.0.0.1:17301 complete no-such-model hi || true

echo '== stop all processes'
