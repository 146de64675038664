#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file; TROUBLE=0 plays it
# without the disruption.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
exec timeout --signal=INT --kill-after=5 115 python3 review/9/play.py
