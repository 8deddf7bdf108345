#!/usr/bin/env bash
# Tests three daemons and the stand-ins, as separate processes, under SIGKILL, SIGSTOP and
# outages. Prints the duration of a takeover. Exits with 0 only if all steps pass.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
bin=${CARGO_TARGET_DIR:-target}/release
out=$(mktemp -d)
declare -A pids
finish() {
  for n in 1 2 3; do kill -CONT "${pids[$n]}" 2>/dev/null || true; kill -TERM "${pids[$n]}" 2>/dev/null || true; done
  for n in 1 2 3; do wait "${pids[$n]}" 2>/dev/null || true; done
  kill -TERM "${pids[standin]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap finish EXIT

source scripts/lib.sh
now_ms() { date +%s%3N; }

export SHALELINE_PEER_SECRET=faults-script-peer-secret SHALELINE_TOKEN=faults-script-operator
SHALELINE_ADMIN_HASH=$("$bin/shaleline" hash "$SHALELINE_TOKEN")
export SHALELINE_ADMIN_HASH
"$bin/shaleline-standin" --port 7600 --sample small >"$out/standin.log" 2>&1 &
pids[standin]=$!
until_true 10 "the stand-ins come up" grep -q "service at" "$out/standin.log"
start_daemon() { # number
  "$bin/shalelined" --instance "entry-$1" --centre "dc$1" --platform 127.0.0.1:7600 \
    --listen "127.0.0.1:77${1}0" --admin-listen "127.0.0.1:77${1}1" \
    --peer-listen "127.0.0.1:77${1}2" --store-rate 20 \
    --seeds 127.0.0.1:7712,127.0.0.1:7722,127.0.0.1:7732 >>"$out/daemon-$1.log" 2>&1 &
  pids[$1]=$!
}
ready() { curl -sf "127.0.0.1:77${1}0/readyz"; }
tool() { "$bin/shaleline" --admin "127.0.0.1:77${1}1" "${@:2}"; }
for n in 1 2 3; do start_daemon "$n"; done
for n in 1 2 3; do until_true 20 "daemon $n is ready" ready "$n"; done
tool 1 fleet put examples/small/fleet.toml >/dev/null
tool 1 template put examples/small/template.toml >/dev/null
tool 1 org put examples/small/mraznik.toml >/dev/null
token=$(tool 1 token new mraznik | sed -n 's/.*"token": "\(.*\)".*/\1/p')
ask() { # number tokens
  curl -s -m 30 "127.0.0.1:77${1}0/v1/completions" -H "Authorization: Bearer $token" \
    -d "{\"model\":\"frost\",\"prompt\":\"tonight?\",\"max_tokens\":$2}"
}
answered() { ask "$1" 2 | grep -q '"finish_reason"'; }
for n in 1 2 3; do until_true 30 "daemon $n answers" answered "$n"; done
step "three daemons serve"

owner() { tool "$1" state | grep -A4 '"owner"' | sed -n 's/.*"instance": "entry-\(.\)".*/\1/p'; }
old=$(owner 1)
[ -n "$old" ] || fail "the cell has an owner"
rest=(1 2 3); rest=("${rest[@]/$old/}"); other=$(echo "${rest[@]}" | awk '{print $1}')
killed=$(now_ms)
kill -KILL "${pids[$old]}"
new_owner() { local o; o=$(owner "$other"); [ -n "$o" ] && [ "$o" != "$old" ]; }
until_true 15 "another daemon takes over" new_owner
echo "# takeover after a kill: $(($(now_ms) - killed)) ms"
answered "$other" || fail "the others serve on"
step "a killed owner is replaced"

start_daemon "$old"
until_true 20 "the new process is ready" ready "$old"
frozen=$(owner "$other")
kill -STOP "${pids[$frozen]}"
watch=$(echo "1 2 3" | tr ' ' '\n' | grep -v "$frozen" | head -n 1)
taken() { local o; o=$(owner "$watch"); [ -n "$o" ] && [ "$o" != "$frozen" ]; }
until_true 15 "another daemon takes over from a frozen one" taken
kill -CONT "${pids[$frozen]}"
same() { [ "$(owner "$frozen")" = "$(owner "$watch")" ] && [ "$(owner "$watch")" != "$frozen" ]; }
until_true 15 "the woken daemon knows that it is no longer the owner" same
answered "$frozen" || fail "the woken daemon serves"
step "a frozen owner is replaced and accepts it"

confirm() { # number key
  curl -s -m 30 -D "$out/head" "127.0.0.1:77${1}0/v1/services/alerts/go" \
    -H "Authorization: Bearer $token" -H "Idempotency-Key: $2" -d x
}
confirm 1 before | grep -q '"run":1' || fail "a keyed call runs"
curl -s 127.0.0.1:7600/fault -H 'content-type: application/json' -d '{"outage":4000}'
until_true 3 "the outage is noticed" grep -q '"event":2001' "$out/daemon-2.log"
away() { tool 2 state | grep -q '"log_away": true'; }
until_true 3 "the log counts as away" away
started=$(now_ms)
confirm 2 during >"$out/during"
echo "# refused while the log is away: $(($(now_ms) - started)) ms"
grep -q '"log-unavailable"' "$out/during" || fail "a keyed call is refused while the log is away"
grep -qi 'x-shaleline-outcome: not-run' "$out/head" || fail "it says that it did not run"
answered 3 || fail "completions are served while the log is away"
confirm 2 before | grep -q '"run":1' || fail "a finished key is still answered"
again() { confirm 2 during | grep -q '"run":1'; }
until_true 15 "the call runs once the log is back" again
runs=$(curl -s 127.0.0.1:7604/runs)
echo "$runs" | grep -q '"before":1' && echo "$runs" | grep -q '"during":1' || fail "each ran once: $runs"
step "an outage of the log is answered truthfully"

curl -s 127.0.0.1:7604/fault -H 'content-type: application/json' -d '{"lose-answers":1}'
confirm 3 doubt | grep -q '"upstream-failed"' || fail "a lost answer is unknown"
confirm 1 doubt | grep -q '"outcome-unknown"' || fail "a repeat elsewhere is told the same"
curl -s 127.0.0.1:7604/runs | grep -q '"doubt":1' || fail "it ran once"
step "a call whose answer is lost is unknown and never runs again"

curl -sN -m 60 127.0.0.1:7710/v1/completions -H "Authorization: Bearer $token" \
  -d '{"model":"frost","prompt":"tonight?","max_tokens":400,"stream":true}' >"$out/long" &
long=$!
for port in 7601 7602 7603; do
  curl -s "127.0.0.1:$port/fault" -H 'content-type: application/json' -d '{"break":{"count":1,"after":200}}'
done
wait "$long"
grep -q '"completion_tokens":400' "$out/long" || fail "a stream is whole"
whole() { ask 2 400 | grep -q '"completion_tokens":400'; }
whole && whole && whole || fail "streams that break are resumed elsewhere"
step "streams that break are resumed and whole"
echo "$passed passed, 0 failed"
