#!/usr/bin/env bash
# End-to-end test with separate processes over TCP: stand-ins, two daemons, the command-line
# tool and curl as the HTTP client. Exits with 0 only if all steps pass.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --bins
bin=${CARGO_TARGET_DIR:-target}/release
out=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap finish EXIT

source scripts/lib.sh

export SHALELINE_PEER_SECRET=path-script-peer-secret
export SHALELINE_TOKEN=path-script-operator-token
SHALELINE_ADMIN_HASH=$("$bin/shaleline" hash "$SHALELINE_TOKEN")
export SHALELINE_ADMIN_HASH
export SHALELINE_ADMIN=127.0.0.1:7211

"$bin/shaleline-standin" --port 7100 --sample small >"$out/standin.log" 2>&1 &
pids+=($!)
until_true 10 "the stand-ins come up" grep -q "service at" "$out/standin.log"
step "stand-ins are up"

start_daemon() { # number
  "$bin/shalelined" --instance "entry-$1" --centre "dc$1" --platform 127.0.0.1:7100 \
    --listen "127.0.0.1:72${1}0" --admin-listen "127.0.0.1:72${1}1" \
    --peer-listen "127.0.0.1:72${1}2" --seeds 127.0.0.1:7212,127.0.0.1:7222 \
    --store-rate 20 >"$out/daemon-$1.log" 2>&1 &
  pids+=($!)
  daemon_pid[$1]=$!
}
declare -A daemon_pid
start_daemon 1
start_daemon 2
for n in 1 2; do until_true 20 "daemon $n is ready" curl -sf "127.0.0.1:72${n}0/readyz"; done
step "two daemons are ready"

if "$bin/shalelined" --instance 'a b' --listen nowhere >"$out/bad.log" 2>&1; then
  fail "bad settings are refused"
fi
grep -q -- "--listen" "$out/bad.log" && grep -q -- "--instance" "$out/bad.log" &&
  grep -q -- "--platform" "$out/bad.log" || fail "every fault of the settings is named"
step "bad settings are refused, every fault named"

"$bin/shaleline" fleet put examples/small/fleet.toml >/dev/null
"$bin/shaleline" template put examples/small/template.toml >/dev/null
"$bin/shaleline" org put examples/small/mraznik.toml >/dev/null
"$bin/shaleline" org put examples/small/agencia.toml >"$out/org.json"
grep -q '"in_force_on_all": true' "$out/org.json" || fail "the change is in force on all daemons"
step "a template and two organisations are in force on both daemons"

token() { "$bin/shaleline" token new "$1" | sed -n 's/.*"token": "\(.*\)".*/\1/p'; }
mraznik=$(token mraznik)
agencia=$(token agencia)
step "each organisation has a token"

ask() { # port token model tokens [stream]
  curl -s -m 60 "127.0.0.1:$1/v1/chat/completions" -H "Authorization: Bearer $2" \
    -d "{\"model\":\"$3\",\"max_tokens\":$4,\"stream\":${5:-false},
         \"messages\":[{\"role\":\"user\",\"content\":\"frost tonight?\"}]}"
}
answered() { ask "$1" "$2" "$3" 4 | grep -q '"finish_reason":"length"'; }
until_true 30 "frost answers" answered 7210 "$mraznik" frost
until_true 30 "booking answers" answered 7220 "$agencia" booking
until_true 30 "the adapter answers" answered 7220 "$mraznik" frost-zilina
step "every model and adapter answers, through either daemon"

ask 7210 "$mraznik" frost 50 true >"$out/stream.txt"
[ "$(grep -c '"content"' "$out/stream.txt")" = 50 ] || fail "a stream has all its tokens"
tail -n 2 "$out/stream.txt" | grep -q 'DONE' || fail "a whole stream says so"
step "a stream is whole"

ask 7210 "$mraznik" booking 4 >"$out/other.txt"
ask 7210 "$mraznik" no-such 4 >"$out/none.txt"
strip() { sed 's/"request_id":"[^"]*"//; s/booking//; s/no-such//' "$1"; }
[ "$(strip "$out/other.txt")" = "$(strip "$out/none.txt")" ] ||
  fail "another's model looks like an unknown one"
ask 7210 wrong frost 4 | grep -q '"unauthenticated"' || fail "a wrong token is refused"
curl -s 127.0.0.1:7210/v1/completions -H "Authorization: Bearer $mraznik" -d '{' |
  grep -q '"bad-request"' || fail "a malformed body is refused"
head -c 2000000 /dev/zero | curl -s 127.0.0.1:7210/v1/completions \
  -H "Authorization: Bearer $mraznik" --data-binary @- | grep -q '"too-large"' ||
  fail "an oversized body is refused"
step "bad input gets its answer"

"$bin/shaleline" org put examples/small/tiny.toml >/dev/null
tiny=$(token tiny)
until_true 15 "daemon 1 has a part of a small limit" answered 7210 "$tiny" frost
until_true 30 "daemon 2 has a part of a small limit" answered 7220 "$tiny" frost
step "a limit smaller than the number of daemons serves through each"

confirm() { # port key
  curl -s -m 30 -D "$out/head-$1" "127.0.0.1:$1/v1/services/alerts/sprinkler" \
    -H "Authorization: Bearer $mraznik" -H "Idempotency-Key: $2" -d 'valve 7'
}
confirm 7210 call-1 >"$out/first.json" &
first=$!
confirm 7220 call-1 >"$out/second.json" &
second=$!
wait "$first" "$second"
grep -q '"run":1' "$out/first.json" || fail "the first call has its answer"
cmp -s "$out/first.json" "$out/second.json" || fail "both calls have the same answer"
curl -s 127.0.0.1:7104/runs | grep -q '"call-1":1' || fail "the call ran once"
step "one call sent to two daemons at once ran once"

curl -sN -m 60 127.0.0.1:7220/v1/chat/completions -H "Authorization: Bearer $agencia" \
  -d '{"model":"booking","max_tokens":600,"stream":true,
       "messages":[{"role":"user","content":"a slot?"}]}' >"$out/long.txt" &
stream=$!
until_true 10 "the stream begins" grep -q '"content"' "$out/long.txt"
kill -TERM "${daemon_pid[2]}"
wait "$stream" || fail "the stream was cut off"
[ "$(grep -c '"content"' "$out/long.txt")" = 600 ] || fail "the stream of a stopping daemon is whole"
wait "${daemon_pid[2]}" || fail "the stopped daemon exits with success"
grep -q '"event":1004' "$out/daemon-2.log" || fail "the daemon says that it stopped"
step "a planned stop cut off nothing"

curl -sf 127.0.0.1:7211/metrics >"$out/metrics.txt" && grep -q shaleline_requests "$out/metrics.txt" ||
  fail "metrics are shown"
"$bin/shaleline" state | grep -q '"instance": "entry-1"' || fail "state is shown"
step "metrics and state are shown"
echo "$passed passed, 0 failed"
