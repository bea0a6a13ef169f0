#!/bin/bash
# Static checks: staticcheck and revive. Both are pinned in go.mod as tools of this module.
# Folders in unfinished.txt are left out of the rules on shape.
set -euo pipefail
cd "$(dirname "$0")/.."
go tool staticcheck ./...
go tool revive -config lint/revive.toml ./...
unfinished=()
while read -r folder; do
	case "$folder" in
	'' | '#'*) continue ;;
	esac
	if ! compgen -G "$folder/*.go" >/dev/null; then
		echo "lint/unfinished.txt: $folder has no Go files; take it off the list" >&2
		exit 1
	fi
	unfinished+=(-exclude "./$folder")
done <lint/unfinished.txt
go tool revive -config lint/revive-shape.toml "${unfinished[@]}" ./...
