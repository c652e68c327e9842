#!/usr/bin/env bash
# Prints a copy of a site file with other sizes and time bounds.
#   vary.sh small SITE   one small instance per zone, time bounds of 1.5 s
#   vary.sh wide SITE    more and larger instances, half of the engines are prefill engines
#   vary.sh whole SITE   no dedicated prefill engines
set -eu
case "$1" in
small) sed 's/cpu_share = 0.25/cpu_share = 0.12/; s/memory_mb = 260/memory_mb = 160/; s/link_mbps = 1000.0, zone/link_mbps = 50.0, zone/
s/count = [0-9]*, spare = 1/count = 1, spare = 1/; s/^drain_ms = .*/drain_ms = 1500/; s/^config_ms = .*/config_ms = 1500/' "$2" ;;
wide) sed 's/cpu_share = 0.25/cpu_share = 0.5/; s/link_mbps = 1000.0, zone/link_mbps = 100.0, zone/
s/count = 3, spare = 1/count = 5, spare = 1/; s/prefill = 0\.[0-9]*/prefill = 0.5/; s/handle_s = 5.0/handle_s = 2.0/' "$2" ;;
whole) sed 's/prefill = 0\.[0-9]*/prefill = 0.0/' "$2" ;;
*) echo "vary.sh: expected small, wide or whole, got '$1'" >&2; exit 2 ;;
esac
