#!/usr/bin/env bash
# Shows that each guarantee's test fails without its mechanism: every line of
# the table takes one mechanism out of a copy of the tree and expects the named
# test to go red. Prints a line each; exits 1 when a test stayed green.
#
#   file | perl expression | package | test
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$work"
bad=0
while IFS='~' read -r file expr pkg test; do
  case "$file" in ''|'#'*) continue ;; esac
  [ $# -gt 0 ] && ! echo "$test" | grep -q "$1" && continue
  cp "$work/$file" "$work/.saved"
  perl -0pi -e "$expr" "$work/$file"
  if cmp -s "$work/$file" "$work/.saved"; then
    echo "NOT APPLIED  $file: $expr"; bad=1
  elif ! (cd "$work" && go vet "./$pkg" >/dev/null 2>"$work/.log"); then
    echo "DOES NOT BUILD  $file: $expr"; head -3 "$work/.log"; bad=1
  elif (cd "$work" && go test -count=1 -timeout 120s -run "^$test\$" "./$pkg" >"$work/.log" 2>&1); then
    echo "STAYED GREEN  $test without $file: $expr"; bad=1
  else
    echo "red as it should be  $test  without  $file"
  fi
  cp "$work/.saved" "$work/$file"
done < tools/mutants.txt
exit $bad
