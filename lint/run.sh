#!/bin/bash
# Static checks by staticcheck and revive, which are pinned in go.mod as tools of this module.
# The rules of revive-shape.toml are not applied to the folders in unfinished.txt.
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
