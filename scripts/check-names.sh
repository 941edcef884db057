#!/usr/bin/env bash
# Checks that no name of the users' platform stands outside platform/ and
# deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='X-Amaranthgap-|AMARANTHGAP_BOOT|trafficSplit|ruleSet|routeType'
names+='|coldRemainingMs|heartbeatAddr|expectedRev|baseVersion|appAddr'
names+='|Server-(Limit|Leaving)|Store-Era'
names+='|op/config|/v1/instances|/v1/ready|kv-(key|range|watch|txn|keep|lease)'
if git grep -nE "$names" -- libs app bench standins examples; then
  echo "names of the platform outside platform/ and deploy/" >&2
  exit 1
fi
