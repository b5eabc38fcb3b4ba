#!/usr/bin/env bash
# Builds everything, starts a small fleet on free loopback ports, sends it one
# request of each kind, and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
echo "building ..."
scripts/build.sh > /dev/null
bin=${BUILD_DIR:-build}
dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
    rm -rf "$dir"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS...: starts a program in the background and waits
# for its first output, which contains its address.
start() {
    local name=$1
    shift
    "$@" > "$dir/$name.out" 2> "$dir/$name.err" &
    pids+=($!)
    for _ in $(seq 100); do
        [[ -s $dir/$name.out ]] && return 0
        sleep 0.05
    done
    echo "$name printed nothing within 5 s"; cat "$dir/$name.err"; exit 1
}
# address_of NAME: prints the address on which the started program listens.
address_of() { grep -m1 -oE '127\.0\.0\.1:[0-9]+' "$dir/$1.out"; }

echo "starting the stand-in platform, 6 targets and 6 entries in 2 data centres"
start platform "$bin/tests/stand_in_platform" --listen=127.0.0.1:0
platform=$(address_of platform)
secret=demo-operator-secret
digest=$(printf %s "$secret" | sha256sum | cut -d' ' -f1)
for dc in north south; do
    for i in 1 2 3; do
        start "target-$dc-$i" "$bin/tests/stand_in_target" \
            --listen=127.0.0.1:0 --id="$dc-$i" --run-ms=50
        cat > "$dir/entry-$dc-$i.toml" << END
entry = "entry-$dc-$i"
data_centre = "$dc"
http_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
platform = "$platform"
bootstrap_secret_sha256 = "$digest"
balancer_lag_ms = 500
END
        start "entry-$dc-$i" "$bin/cowslippassd" \
            --settings="$dir/entry-$dc-$i.toml"
    done
done
entry=$(address_of entry-north-1)
other=$(address_of entry-south-2)
until curl -sf "http://$entry/readyz" > /dev/null &&
    curl -sf "http://$other/readyz" > /dev/null; do sleep 0.1; done

export COWSLIPPASS_KEY=$secret
# operate ARGUMENTS...: prints and runs an operator's command.
operate() {
    echo "\$ cowslippass '$*'"
    "$bin/cowslippass" --entry="$entry" "$@"
}
echo; echo "== an operator sets up the fleet"
operate 'grant operator admin' > "$dir/admin.out"
COWSLIPPASS_KEY=$(grep -oE '[0-9a-f]{40}' "$dir/admin.out" | head -1)
operate 'create data-centre north'
operate 'create data-centre south'
operate 'create pool stencils max-unavailable 1'
operate 'create team packing share 2 limit 20'
operate 'create queue previews pool stencils urgent'
operate 'create queue renders pool stencils urgent non-idempotent'
operate 'create queue exports pool stencils slow'
for dc in north south; do
    for i in 1 2 3; do
        operate "add instance $dc-$i data-centre $dc rack $dc-r$i \
address $(address_of "target-$dc-$i") pool stencils" > /dev/null
    done
done
operate --wait 'grant key packing-key to team packing' | tee "$dir/key.out"
key=$(grep -oE '[0-9a-f]{40}' "$dir/key.out" | head -1)
operate 'show instances'

# Entries learn of the new targets within a second.
sleep 2
# call ARGUMENTS...: sends a caller's request with the team's key.
call() { curl -sS -H "Authorization: Bearer $key" "$@"; }
echo; echo "== an urgent request, through an entry of the other data centre"
call -H 'Request-Id: preview-1' --data-binary 'stencil for crate 17' \
    "http://$other/v1/queues/previews/requests" \
    -w '\nstatus %{http_code}, %{time_total} s\n'
echo; echo "== a non-idempotent request, sent twice with one request id"
for _ in 1 2; do
    call -H 'Request-Id: render-1' --data-binary 'brand mark 4' \
        "http://$entry/v1/queues/renders/requests" -w '\nstatus %{http_code}\n'
done
echo; echo "== a slow job"
job=$(call --data-binary 'archive of March' \
    "http://$entry/v1/queues/exports/requests" | tee /dev/stderr | jq -r .job)
for _ in $(seq 100); do
    state=$(call "http://$other/v1/jobs/$job" | jq -r .state)
    [[ $state == done ]] && break
    sleep 0.1
done
echo "state: $state"
call "http://$other/v1/jobs/$job/result"; echo
echo; echo "== a withdrawn key is refused"
operate --wait 'withdraw key packing-key'
call --data-binary x "http://$other/v1/queues/previews/requests" \
    -w 'status %{http_code}\n'
echo; echo "== the decisions about request preview-1"
cat "$dir"/entry-*.err | grep '"preview-1"' | grep -E 'routing|placement'
echo; echo "stopping every process"
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
status=0
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
pids=()
echo "all processes have stopped; exit status $status"
exit "$status"
