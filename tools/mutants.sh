#!/usr/bin/env bash
# Checks that the test of each guarantee fails without the mechanism behind it:
# every line of tools/mutants.txt removes one mechanism from a copy of the tree and
# names the test that must fail then. Prints the result of each line; exits with 1
# if a test passed, or if a line did not apply or did not build.
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
