#!/usr/bin/env bash
# Starts two data centres on loopback, publishes the example configuration,
# asks for one model answer and one call that may not be repeated, and stays
# up until Ctrl-C; with ONCE=1 it ends after the answers.
set -u
build=${1:?build folder}
once=${ONCE:-0}
here=examples/local
logs=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  [ "${1:-0}" = 0 ] && rm -rf "$logs" || echo "logs: $logs" >&2
  exit "${1:-0}"
}
trap 'finish 0' INT TERM

fail() { echo "FAILED: $1" >&2; finish 1; }

until_ok() { # seconds, what, command...
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "$what"
    sleep 0.1
  done
}

start() { # name, command...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

start platform "$build/tests/standin-platform" --listen=127.0.0.1:7000 --vms=$here/vms.yaml
start targets "$build/tests/standin-target" --vms=$here/vms.yaml --token_ms=10
nodes="burnaby-1 burnaby-2 surrey-1 surrey-2"
for node in $nodes; do
  start "$node" "$build/waycoved" --settings=$here/$node.yaml
done
export WAYCOVE_KEY=local-operator
way="$build/waycove --server=127.0.0.1:8101"
for port in 8101 8102 8103 8104; do
  until_ok 20 "a daemon does not become ready" curl -sf http://127.0.0.1:$port/readyz
done

echo "== waycove apply $here/objects.yaml"
$way apply $here/objects.yaml || fail "apply"
serving() { [ "$($way status --output=json | grep -c '"serves" *: *true')" -ge 2 ]; }
until_ok 30 "the groups do not come to serve" serving
echo "== waycove status"
$way status || fail "status"

model() {
  curl -sS --max-time 20 -H "Authorization: Bearer packers-key" \
    -d '{"prompt": "Summarise the excursion log of reefer 12", "max_tokens": 12}' \
    http://127.0.0.1:8101/v1/models/coldmind/generate
}
echo "== a model answer"
answer=$(model) || fail "no model answer"
echo "$answer"
case "$answer" in *'"tokens":12'*) ;; *) fail "the model answer is not whole" ;; esac

echo "== an acknowledgement that may not be repeated, sent twice with one key"
key="$(date +%s%3N)-alarm-7"
ack() {
  curl -sS --max-time 20 -X POST -H "Authorization: Bearer packers-key" \
    -H "Idempotency-Key: $key" -d '{"alarm": 7}' \
    "http://127.0.0.1:$1/v1/services/probe-api/alarms/7/ack"
}
first=$(ack 8101) || fail "no service answer"
second=$(ack 8103) || fail "no second service answer"
echo "$first"
echo "$second"
case "$first" in *'"count":1'*) ;; *) fail "the call did not run once" ;; esac
[ "$first" = "$second" ] || fail "the retry got another answer"

if [ "$once" = 1 ]; then
  finish 0
fi
cat <<EOF

Up until Ctrl-C. Ask for more:
  curl -N -H "Authorization: Bearer packers-key" \\
    -d '{"prompt": "Explain alarm 7", "max_tokens": 40, "stream": true}' \\
    http://127.0.0.1:8101/v1/models/coldmind/generate
  WAYCOVE_KEY=local-operator $build/waycove status
  WAYCOVE_KEY=local-operator $build/waycove timeline
  WAYCOVE_KEY=local-operator $build/waycove drain burnaby-d1-1
EOF
while :; do sleep 1; done
