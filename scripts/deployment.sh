# Starts and stops a deployment on loopback; sourced by scripts/demo and other scripts.
#
# Input: BIN (folder of the programs), DOCUMENT (configuration), SERVICE, WORK (folder for
# settings and logs). Optional input: AGENT_SETTINGS (TOML appended to each agent's settings),
# BACKEND_ARGS (array of further arguments of each backend server).
# Output: ENTRIES (client addresses), PLATFORM, BACKENDS, AGENT_HTTP and BACKEND_ZONES (of each
# backend server).

PIDS=()
BACKEND_ARGS=()
# Below the ephemeral range: an outgoing connection could take an ephemeral port before the
# program binds it.
PORT=$((10000 + RANDOM % 20000))

# Sets REPLY to the next port on which nothing listens.
free_port() {
  while PORT=$((PORT + 1)); do
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$PORT") 2>/dev/null; then
      REPLY=$PORT
      return
    fi
  done
}

# start NAME PROGRAM ARGS...: starts a program in the background; log and process id go to WORK.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=("$!")
  echo "$!" >"$WORK/$name.pid"
}

# wait_for URL: polls the URL until it responds with success, for at most 10 s.
wait_for() {
  local url=$1
  for _ in $(seq 200); do
    if curl --silent --fail --output /dev/null "$url"; then return 0; fi
    sleep 0.05
  done
  echo "no answer from $url" >&2
  return 1
}

# Prints a line with name and availability zone for each worker of the document.
workers_of_document() {
  sed -n -e 's/^\[capacity\.workers\.\(.*\)\]$/\1/p' -e 's/^availability_zone = "\(.*\)"$/\1/p' "$DOCUMENT" |
    paste -d ' ' - -
}

start_platform() {
  free_port
  PLATFORM=127.0.0.1:$REPLY
  start platform "$BIN/rattanslip-standin" platform --listen "$PLATFORM"
  wait_for "http://$PLATFORM/calls"
}

# start_entry NAME ZONE: starts an entry; the token of its operator is "demo-token".
start_entry() {
  local name=$1 zone=$2 client peer
  free_port && client=127.0.0.1:$REPLY
  free_port && peer=127.0.0.1:$REPLY
  cat >"$WORK/$name.toml" <<TOML
name = "$name"
availability_zone = "$zone"
client_listen = "$client"
peer_listen = "$peer"
platform = "$PLATFORM"

[operators.demo]
token_blake3 = "$TOKEN_BLAKE3"
sections = ["capacity", "services", "zones", "quotas"]
TOML
  start "$name" "$BIN/rattanslip-entry" --settings "$WORK/$name.toml"
  ENTRIES+=("$client")
  ENTRY_PEERS+=("$peer")
}

# start_worker NAME ZONE: starts an agent and its backend server.
start_worker() {
  local name=$1 zone=$2 peer http backend entries
  free_port && peer=127.0.0.1:$REPLY
  free_port && http=127.0.0.1:$REPLY
  free_port && backend=127.0.0.1:$REPLY
  entries=$(printf '"%s", ' "${ENTRY_PEERS[@]}")
  cat >"$WORK/agent-$name.toml" <<TOML
worker = "$name"
availability_zone = "$zone"
peer_listen = "$peer"
http_listen = "$http"
entries = [${entries%, }]
${AGENT_SETTINGS:-}
TOML
  start "agent-$name" "$BIN/rattanslip-agent" --settings "$WORK/agent-$name.toml"
  start "backend-$name" "$BIN/rattanslip-standin" backend \
    --listen "$backend" --agent "$http" --service "$SERVICE" "${BACKEND_ARGS[@]}"
  BACKEND_ZONES+=("$zone")
  BACKENDS+=("$backend")
  AGENT_HTTP+=("$http")
}

# Starts platform, two entries and all workers of the document, and applies the document.
start_deployment() {
  TOKEN_BLAKE3=$(echo demo-token | "$BIN/rattanslip" hash-token)
  ENTRIES=() ENTRY_PEERS=() BACKENDS=() BACKEND_ZONES=() AGENT_HTTP=()
  start_platform
  local first_zone
  first_zone=$(workers_of_document | head -n 1 | cut -d ' ' -f 2)
  start_entry entry-1 "$first_zone"
  start_entry entry-2 "$first_zone"
  while read -r name zone; do start_worker "$name" "$zone"; done < <(workers_of_document)
  export RATTANSLIP_ENTRY=${ENTRIES[0]} RATTANSLIP_TOKEN=demo-token
  wait_for "http://${ENTRIES[0]}/health"
  wait_for "http://${ENTRIES[1]}/health"
  "$BIN/rattanslip" apply "$DOCUMENT"
  for entry in "${ENTRIES[@]}"; do wait_for "http://$entry/ready"; done
  for agent in "${AGENT_HTTP[@]}"; do wait_for "http://$agent/ready"; done
  wait_for_workers
}

# Waits until each entry lists all workers with their service, for at most 10 s per entry.
wait_for_workers() {
  local wanted seen
  wanted=$(workers_of_document | wc -l)
  for entry in "${ENTRIES[@]}"; do
    for _ in $(seq 200); do
      seen=$("$BIN/rattanslip" --entry "$entry" workers | grep -c "$SERVICE")
      if [ "$seen" -ge "$wanted" ]; then break; fi
      sleep 0.05
    done
  done
}

# Stops all processes, the platform last; fails if one did not exit with 0.
stop_deployment() {
  local failed=0 pid
  for pid in "${PIDS[@]:1}" "${PIDS[@]:0:1}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do
    if ! wait "$pid"; then
      echo "process $pid did not stop cleanly" >&2
      failed=1
    fi
  done
  PIDS=()
  return $failed
}

# Kills all remaining processes; for traps.
kill_deployment() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  # Reaping the processes suppresses the shell's messages.
  wait "${PIDS[@]}" 2>/dev/null || true
}
