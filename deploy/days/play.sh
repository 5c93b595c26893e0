#!/usr/bin/env bash
# Plays every day of this folder on each site and prints a table: day, site,
# worth, share served, broken rules, floors missed.
#
#   deploy/days/play.sh BENCH "WHY" SITE...
set -uo pipefail
bench=$1 why=$2
shift 2
report=$(mktemp)
trap 'rm -f "$report"' EXIT
printf '%-36s %-20s %6s %6s  %-24s %s\n' day site worth served 'broken rules' 'floors missed'
for day in "$(dirname "$0")"/*.toml; do
  for site in "$@"; do
    : >"$report"
    output=$("$bench" run "$site" "$day" --report "$report" --why "$why: $(head -1 "$day" | cut -c3-)" 2>&1)
    name=$(basename "$day" .toml)
    row=$(grep -m1 -E "^$name +[0-9]+/" <<<"$output")
    if [ -z "$row" ]; then
      printf '%-36s %-20s %s\n' "$name" "$(basename "$site" .toml)" "no result: $(grep -v '^built' <<<"$output" | head -1)"
      continue
    fi
    worth=$(awk '{print $4}' <<<"$row")
    served=$(awk '{print $5}' <<<"$row")
    broken=$(grep -o 'BROKEN: [^(]*' <<<"$row" | cut -c9-)
    short=$(tr -d ' \n' <"$report" | grep -o '"short":\[[^]]*' | cut -c10-)
    printf '%-36s %-20s %6s %6s  %-24s %s\n' "$name" "$(basename "$site" .toml)" "$worth" "$served" "${broken:--}" "${short:--}"
  done
done
