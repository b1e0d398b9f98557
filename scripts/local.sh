#!/usr/bin/env bash
# Starts a whole system on loopback as separate processes: three boxes, two
# model servers, one plain service, the weight store and the platform's instance
# list.
#
#   scripts/local.sh run     runs until interrupted
#   scripts/local.sh smoke   sends requests through each box, checks the
#                            responses and exits, non-zero on any difference
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-run}
work=$(mktemp -d)
pids=()

stop_all() {
  local status=$?
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ] && [ "$mode" = smoke ]; then tail -n 20 "$work"/*.log >&2; fi
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

# in_use PORT succeeds if something listens on the port.
in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# find_ports sets base to the first of 20 free ports.
find_ports() {
  for _ in $(seq 50); do
    base=$((10000 + (RANDOM % 1000) * 20))
    local free=1
    for p in $(seq "$base" $((base + 19))); do
      if in_use "$p"; then free=0; break; fi
    done
    [ "$free" = 1 ] && return
  done
  echo "no free ports found" >&2
  exit 1
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

mkdir -p bin
go build -o bin/ ./cmd/...
find_ports

store=127.0.0.1:$((base + 15))
platform=127.0.0.1:$((base + 16))
engine1=127.0.0.1:$((base + 10))
engine2=127.0.0.1:$((base + 11))
shop=127.0.0.1:$((base + 12))

start store bin/standin store -listen "$store" -rate 20
start platform bin/standin platform -listen "$platform"
start engine1 bin/standin engine -listen "$engine1" -memory 64GiB -store "$store"
start engine2 bin/standin engine -listen "$engine2" -memory 64GiB -store "$store" -checks-fences=false
start shop bin/standin service -listen "$shop" -name shop

boxes="one=127.0.0.1:$base, two=127.0.0.1:$((base + 1)), three=127.0.0.1:$((base + 2))"
entries=""
operators=""
i=0
for name in one two three; do
  entry=127.0.0.1:$((base + 3 + i))
  operator=127.0.0.1:$((base + 6 + i))
  cat >"$work/$name.ini" <<EOF
[box]
name = $name
hall = hall-$((i % 2 + 1))
roles = control, entry

[cluster]
name = local
first-members = one, two, three
boxes = $boxes

[peer]
listen = 127.0.0.1:$((base + i))

[entry]
listen = $entry
balancer-lag = 200ms

[operator]
listen = $operator

[data]
folder = $work/$name

[platform]
address = $platform
EOF
  start "box-$name" bin/leverdrumd run "$work/$name.ini"
  entries="$entries${entries:+,}$entry"
  operators="$operators${operators:+,}$operator"
  i=$((i + 1))
done

cat >"$work/fleet.ini" <<EOF
[fleet]
number = 1
loads-per-second = 20

[hall hall-1]
[hall hall-2]

[class interactive]
deadline = 10s
priority = 10

[kind fenced]
memory = 72GiB
kv-reserve = 8GiB
checks-fences = true

[kind plain]
memory = 72GiB
kv-reserve = 8GiB
order-late = 2s

[server engine1]
address = $engine1
hall = hall-1
kind = fenced

[server engine2]
address = $engine2
hall = hall-2
kind = plain

[model catalogue]
version = 1
memory = 14GiB
class = interactive
copies = 2

[model shelving]
version = 3
memory = 20GiB
class = interactive

[adapter parish]
model = catalogue
version = 2
memory = 200MiB

[service shop]
class = interactive
non-repeatable = POST /orders

[instance shop1]
service = shop
address = $shop
hall = hall-1
EOF

export LEVERDRUM_BOX=$operators
bin/leverdrum check "$work/fleet.ini"
for _ in $(seq 60); do
  if bin/leverdrum apply -operator local "$work/fleet.ini" 2>"$work/apply.err"; then applied=1; break; fi
  sleep 0.25
done
[ "${applied:-0}" = 1 ] || { cat "$work/apply.err" >&2; exit 1; }
bin/standin verify -entries "$entries" -models catalogue@1,shelving@3,parish@2 -service shop

if [ "$mode" = smoke ]; then
  echo "smoke: ok"
  exit 0
fi
first=${entries%%,*}
cat <<EOF

The local fleet serves. Try, in another terminal of this folder:

  curl -s $first/v1/models
  curl -s $first/v1/chat/completions -d '{"model":"parish","messages":[{"role":"user","content":"hello"}]}'
  curl -sN $first/v1/chat/completions -d '{"model":"shelving","stream":true,"messages":[]}'
  curl -s $first/services/shop/stock/42
  export LEVERDRUM_BOX=$operators
  bin/leverdrum status
  bin/leverdrum explain catalogue
  bin/leverdrum show

Interrupt to end it.
EOF
while sleep 1; do :; done
