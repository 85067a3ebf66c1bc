#!/bin/bash
# Two machines are stopped one second apart, as in a rolling restart: first one whose region has few
# servers, then the one that grants the slots. Is a request broken off that its server is at work on?
# Exit status: 1 rule broken, 0 held, 2 could not run. TROUBLE=0 stops neither.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/kit.sh"

GAP_MS=1000
WORK_MS=1500
SERVICE=galeria

declare -A REGION=([zapad-a]=zapad [stred-a]=stred [vychod-a]=vychod)
BOUNDS='"stableWindowMs":4000,"drainMs":2500,"graceS":6,"configApplyMs":2500,"retryBudgetRatio":0.2,
"budgetWindowS":10,"retryBudgetExtra":56,"coldLoadFactor":1.5,"coldSlack":5,"evacuateMs":5000,
"ttl_max_s":5,"maxShift":0.15'

# view N: one request to the machine in vychod-a
view () {
  local sent
  sent=$(now_ms)
  call "${FRONT[vychod]}" GET "/views/$1" '' 'Host: studio.example' "Request-Id: view-$1" 'Deadline-Ms: 4000'
  echo "view-$1 $STATUS $sent $(now_ms) $(grep -ci '^Server-Stamp:' <<< "$HEAD")" > "$FOLDER/answer-$1"
}

start_store 1
for i in 1 2 3 4; do
  start_server "stred-$i" $SERVICE stred-a --work-ms $WORK_MS --warm-ms $WORK_MS --slots 3
done
for i in 1 2; do
  start_server "zapad-$i" $SERVICE zapad-a --work-ms $WORK_MS --warm-ms $WORK_MS --slots 3
done
put op config "{\"version\":1,\"resources\":[
{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"views\"},\"spec\":{\"host\":\"studio.example\",\"prefix\":\"/views/\",\"kind\":\"safe\",\"timeoutMs\":4000,\"targetLatencyMs\":600,\"priority\":2,\"service\":\"$SERVICE\",\"maxAttempts\":1,\"sticky\":false,\"allowedRegions\":[]}},
{\"resourceKind\":\"services\",\"metadata\":{\"name\":\"$SERVICE\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":2.5}},
{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}"
CPU_SHARE=0.2 write_settings zapad zapad-a
CPU_SHARE=0.4 write_settings stred stred-a
CPU_SHARE=0.2 write_settings vychod vychod-a
for machine in zapad stred vychod; do
  start_entry "$machine"
done
for machine in zapad stred vychod; do
  wait_until_ready "$machine"
done
sleep 4
fetch "${METRICS[stred]}" /metrics | grep -q '^anvil_held_slots' || could_not_run "the machine in stred-a grants no slots"

if [ "$TROUBLE" != 0 ]; then
  kill -TERM "${PID[vychod]}"
  record "SIGTERM to the machine in vychod-a"
fi
STOPPED=$(now_ms)
sleep_until $((STOPPED + 500))
for i in 1 2 3 4 5 6; do
  view "$i" &
  VIEWS+=($!)
done
record "six requests are sent to it"
sleep_until $((STOPPED + GAP_MS))
if [ "$TROUBLE" != 0 ]; then
  kill -TERM "${PID[stred]}"
  record "SIGTERM to the machine in stred-a"
fi
wait "${VIEWS[@]}"
sleep 1

broken_off=0
for i in 1 2 3 4 5 6; do
  read -r id status sent answered stamps < "$FOLDER/answer-$i"
  run=$(cat "$FOLDER"/runs-* | awk -v id="$id" '$1 == "run" && $3 == id { printf "%.0f", $2 / 1000 }')
  record "$id is sent $((sent - STOPPED)) ms after the first SIGTERM, runs on a server from $((${run:-$sent} - STOPPED)) ms on, answered $status after $((answered - STOPPED)) ms"
  # An answer of the system's own, before the server has ended its work.
  if [ -n "$run" ] && [ "$stamps" = 0 ] && [ "$answered" -lt $((run + WORK_MS)) ]; then
    broken_off=$((broken_off + 1))
  fi
done
grep -hE "holder|shutting|stopping" "$FOLDER/vychod.log" "$FOLDER/stred.log" | cut -c 1-220 >> "$RECORD"
echo "requests broken off while their server was at work, with an answer of the system's own: $broken_off of 6" | tee -a "$RECORD"
[ "$broken_off" -eq 0 ] || exit 1
exit 0
