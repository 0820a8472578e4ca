#!/usr/bin/env bash
# Installs briardyke, starts a whole system, gives it a configuration and sends real requests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
bin="${BRIARDYKE_VENV:-.venv}/bin"
base_port="${BRIARDYKE_BASE_PORT:-7100}"
port() { echo "127.0.0.1:$((base_port + $1))"; }
export BRIARDYKE_CONTROL="$(port 11),$(port 12),$(port 13)" BRIARDYKE_OPERATOR="demo"

trap 'scripts/cluster.sh stop' EXIT
scripts/cluster.sh start
echo "== waiting for a leader and four upstreams"
for _ in $(seq 100); do
  if "$bin/briardyke-operator" status 2> /dev/null | grep -q '^upstreams=4$'; then break; fi
  sleep 0.3
done
"$bin/briardyke-operator" status | grep -E '^(version|role|upstreams)='

echo "== operator: version 1"
"$bin/briardyke-operator" patch examples/configuration.json --base 0
echo "== operator: the same patch against version 0 again"
"$bin/briardyke-operator" patch examples/configuration.json --base 0 || true

echo "== caller: addresses"
for _ in $(seq 100); do
  addresses="$(curl -s "http://$(port 21)/v1/addresses?data_centre=odessa-2")"
  if [ "$(grep -o instance_id <<< "$addresses" | wc -l)" = 3 ]; then break; fi
  sleep 0.2
done
echo "$addresses"
echo "== caller: a streamed chat through $(port 22)"
curl -sN "http://$(port 22)/v1/chat/completions" -H 'authorization: Bearer demo-key' \
  -H 'x-request-id: demo-1' -H 'content-type: application/json' \
  -d '{"model": "bale-lister", "stream": true, "max_tokens": 4,
       "messages": [{"role": "user", "content": "Draft a listing for lot 7."}]}'
echo "== caller: a purchase, sent twice with one key"
for entry in 21 23; do
  curl -s "http://$(port "$entry")/services/sales/purchases" -H 'authorization: Bearer demo-key' \
    -H 'idempotency-key: purchase-7' -H 'content-type: application/json' -d '{"lot": 7}'
  echo
done
echo "runs counted by the service: $(curl -s "http://$(port 41)/counters")"
echo "== operator: audit trail"
"$bin/briardyke-operator" audit
echo "== stopping"
