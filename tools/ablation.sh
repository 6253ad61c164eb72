#!/usr/bin/env bash
# Runs the model with one mechanism at a time removed from a copy of the tree, as
# listed in tools/ablation.txt. The first row of each pattern is the unmodified
# system. A mechanism without benefit to callers in the model may still save bytes
# or calls.
#
#   tools/ablation.sh [SEEDS [DRAWN [PATTERN...]]]
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-12} drawn=${2:-0}
shift $(($# < 2 ? $# : 2))
patterns=("$@")
[ ${#patterns[@]} -gt 0 ] || patterns=(return kill burst flap partial slow release)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$work"
bad=0

play() { # name
  if ! (cd "$work" && go build -o "$work/.measure" ./binaries/poppywall-measure 2>"$work/.log"); then
    echo "DOES NOT BUILD  $1"; head -3 "$work/.log"; bad=1
    return
  fi
  for p in "${patterns[@]}"; do
    "$work/.measure" model --brief --pattern "$p" --seeds "$seeds" --drawn "$drawn" 2>/dev/null |
      awk -v name="$1" 'NR > 1 { printf "%-38s %s\n", name, $0 }'
  done
}

play "the whole system"
while IFS='~' read -r name file expr; do
  case "$name" in ''|'#'*) continue ;; esac
  cp "$work/$file" "$work/.saved"
  perl -0pi -e "$expr" "$work/$file"
  if cmp -s "$work/$file" "$work/.saved"; then
    echo "NOT APPLIED  $name: $expr"; bad=1
  else
    play "$name"
  fi
  cp "$work/.saved" "$work/$file"
done < tools/ablation.txt
exit $bad
