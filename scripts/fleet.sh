# Functions that start and use a fleet on loopback. The sourcing script sets
# build (build folder), work (scratch folder) and pids (processes to stop).
# shellcheck shell=bash disable=SC2154

base_port=${GOLDCREST_BASE_PORT:-$((20000 + RANDOM % 20000))}
entries=${GOLDCREST_ENTRIES:-4}
groups=(bookings pumps shares)
operator_token=demo-operator
declare -A endpoint_pid daemon_pid session

caller_port() { echo $((base_port + $1 * 10)); }
operator_port() { echo $((base_port + $1 * 10 + 1)); }
peer_port() { echo $((base_port + $1 * 10 + 2)); }
endpoint_port() { echo $((base_port + 500 + $1 * 10 + $2)); }

write_settings() {
  local i=$1 enabled=false
  ((i <= 3)) && enabled=true
  cat >"$work/e$i.toml" <<TOML
cluster = "demo"
instance = "e$i"
zone = "zone-$(((i - 1) % 3 + 1))"
[entry]
caller_listen = "127.0.0.1:$(caller_port "$i")"
operator_listen = "127.0.0.1:$(operator_port "$i")"
peer_listen = "127.0.0.1:$(peer_port "$i")"
[control]
enabled = $enabled
data_folder = "data-e$i"
members = [
  { instance = "e1", address = "127.0.0.1:$(peer_port 1)" },
  { instance = "e2", address = "127.0.0.1:$(peer_port 2)" },
  { instance = "e3", address = "127.0.0.1:$(peer_port 3)" },
]
[operator]
token_digest = "$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)"
[announce]
secret_file = "announce.secret"
TOML
}

start_daemon() {
  local i=$1
  shift
  "$build/programs/goldcrestd/goldcrestd" run --config "$work/e$i.toml" "$@" 2>>"$work/e$i.log" &
  daemon_pid[$i]=$!
  pids+=($!)
}

start_endpoint() {
  local g=$1 m=$2 group=${groups[$1]} flags=() i
  for ((i = 1; i <= entries; i++)); do
    flags+=(--announce "127.0.0.1:$(caller_port "$i")")
  done
  for i in 1 2 3; do
    flags+=(--members "$group-$i=127.0.0.1:$(endpoint_port "$g" "$i")")
  done
  "$build/testing/goldcrest_standin" --endpoint "$group-$m" --group "$group" \
    --zone "zone-$m" --port "$(endpoint_port "$g" "$m")" --lag-ms 5 \
    --announce-secret-file "$work/announce.secret" "${flags[@]}" 2>>"$work/$group-$m.log" &
  endpoint_pid[$group-$m]=$!
  pids+=($!)
}

# wait_for DESCRIPTION COMMAND...: waits up to 30 s for the command to succeed.
wait_for() {
  local description=$1 deadline=$((SECONDS + 30))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS > deadline)); then
      echo "timed out: $description" >&2
      return 1
    fi
    sleep 0.1
  done
}

start_fleet() {
  local i g m
  echo demo-announce >"$work/announce.secret"
  for ((i = 1; i <= entries; i++)); do
    write_settings "$i"
    if ((i <= 3)); then start_daemon "$i" --bootstrap; else start_daemon "$i"; fi
  done
  for g in "${!groups[@]}"; do
    for m in 1 2 3; do start_endpoint "$g" "$m"; done
  done
  for ((i = 1; i <= entries; i++)); do
    wait_for "entry $i" curl -sf "127.0.0.1:$(caller_port "$i")/healthz"
  done
}

operator() {
  local i=$1 method=$2 path=$3
  shift 3
  curl -s -X "$method" -H "Authorization: Bearer $operator_token" \
    "127.0.0.1:$(operator_port "$i")$path" "$@"
}

configure_fleet() {
  local digest
  digest=$(printf %s key-town-hall | sha256sum | cut -d' ' -f1)
  operator 1 POST /v1/changes -d '{"change_id":"setup","base_revision":0,"author":"committee","objects":[
    {"kind":"customer","name":"town-hall","labels":{"plan":"office"}},
    {"kind":"key","name":"k-town-hall","customer":"town-hall","digest":"'"$digest"'"},
    {"kind":"quota","name":"offices","callers":"plan=office","rate":100,"burst":50,"order":1},
    {"kind":"access","name":"writes","callers":"plan=office","endpoints":"","mode":"write","durability":"majority","order":2},
    {"kind":"access","name":"reads","callers":"plan=office","endpoints":"","mode":"read","max_age_ms":5000,"durability":"majority","order":1}]}'
  echo
  local group
  for group in "${groups[@]}"; do wait_for "primary of $group" has_primary "$group"; done
}

primary_of() {
  operator 1 GET /v1/status | grep -o "\"group\":\"$1\",\"term\":[0-9]*,\"primary\":\"[^\"]*\"" |
    sed 's/.*"primary":"\([^"]*\)"/\1/'
}
has_primary() { [[ -n $(primary_of "$1") ]]; }

kill_primary() {
  local name
  name=$(primary_of "$1")
  echo "kill -9 $name"
  kill -9 "${endpoint_pid[$name]}"
  wait "${endpoint_pid[$name]}" 2>/dev/null || true
}

# request ENTRY CALLER BODY: sends the body with the key and the session token
# of the caller, and keeps the new token.
request() {
  local i=$1 caller=$2 body=$3 headers=$work/headers
  printf '%s via e%s: %s\n' "$caller" "$i" "$body"
  curl -s -D "$headers" -H "Authorization: Bearer key-$caller" \
    -H "Goldcrest-Session: ${session[$caller]:-}" \
    -w '   (%{time_total} s)\n' "127.0.0.1:$(caller_port "$i")/v1/execute" -d "$body"
  local token
  token=$(sed -n 's/^Goldcrest-Session: \([^\r]*\).*/\1/Ip' "$headers")
  [[ -n $token ]] && session[$caller]=$token
  return 0
}
