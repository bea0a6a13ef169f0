#!/bin/bash
# Lays the values of a variant over a site of the kit, in a new temporary folder outside the repository, and prints the site's path:
#     SITE=$(deploy/sites/lay.sh deploy/sites/archive-desk.values ../given/kit/sites/kataster-assist.toml)
# A line of values is "SECTION KEY = VALUE"; a section that comes several times is named with its place from 1 (class.2). "SECTION -"
# leaves a section out.
set -euo pipefail
fail() {
	echo "lay.sh: $*" >&2
	exit 1
}
[ $# = 2 ] || fail "usage: lay.sh VALUES SITE"
values=$1 base=$2 kit=$(dirname "$2")
[ -r "$values" ] || fail "$values: no such values"
for file in "$base" "$kit/real.json" "$kit/wire.json" "$kit/unlock.txt"; do
	[ -r "$file" ] || fail "$file: the kit is missing"
done
folder=$(mktemp -d)
name=$(basename "$values" .values)
awk -v values="$values" '
	function stop(text) { print "lay.sh: " values ": " text > "/dev/stderr"; failed = 1; exit 1 }
	BEGIN {
		while ((getline line < values) > 0) {
			sub(/^[ \t]+/, "", line)
			if (line == "" || line ~ /^#/) continue
			section = line; sub(/[ \t].*/, "", section)
			rest = substr(line, length(section) + 1); sub(/^[ \t]+/, "", rest)
			if (rest == "-") { out[section] = 1; wanted[section " -"] = 1; continue }
			key = rest; sub(/[ \t]*=.*/, "", key)
			if (rest !~ /^[A-Za-z0-9_]+[ \t]*=[ \t]*[^ \t]/) stop("no value: " line)
			sub(/^[^=]*=[ \t]*/, "", rest)
			if ((section " " key) in wanted) stop("twice: " section " " key)
			to[section " " key] = rest; wanted[section " " key] = 1
		}
		section = ""
	}
	/^\[\[/ { kind = $0; gsub(/[][ \t]/, "", kind); section = kind "." ++count[kind] }
	/^\[[^[]/ { section = $0; gsub(/[][ \t]/, "", section) }
	out[section] { delete wanted[section " -"]; next }
	/^[A-Za-z0-9_]+[ \t]*=/ {
		key = $0; sub(/[ \t]*=.*/, "", key)
		at = (section == "" ? "top" : section) " " key
		if (at in to) { delete wanted[at]; print key " = " to[at]; next }
	}
	{ print }
	END { if (!failed) for (at in wanted) stop("nothing to replace: " at) }
' "$base" >"$folder/$name.toml" || { rm -rf "$folder"; exit 1; }
cp "$kit/real.json" "$kit/wire.json" "$kit/unlock.txt" "$folder"
echo "$folder/$name.toml"
