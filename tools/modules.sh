#!/usr/bin/env bash
# Updates each module's go.mod: replace directives point local modules to their
# folders, so that every module also builds outside the workspace. Run it after
# adding a module or a dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
base=github.com/poppywall/poppywall
mods=$(find . -name go.mod -not -path './bin/*' | sed 's,^\./,,;s,/go.mod$,,' | sort)
for m in $mods; do
  for other in $mods; do
    [ "$other" = "$m" ] && continue
    up=$(echo "$m" | sed 's,[^/]\+,..,g')
    (cd "$m" && go mod edit -replace "$base/$other=$up/$other")
  done
done
for m in $mods; do (cd "$m" && GOWORK=off go mod tidy); done
go work sync
