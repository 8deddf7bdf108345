# Functions shared by the scripts, which report steps and failures and wait for conditions.
# $out must name the folder of the log files.
passed=0
step() { passed=$((passed + 1)); echo "ok $passed - $1"; }
fail() { echo "not ok - $1"; tail -n 15 "$out"/*.log || true; echo "$passed passed, 1 failed"; exit 1; }
until_true() { # seconds, what, command...
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || fail "$what"
    sleep 0.05
  done
}
