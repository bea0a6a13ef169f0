# Parts for cases with a fleet; sourced after lib.sh.

# fleet_file FILE OPTIONS MEMBER=ADDRESS... writes a fleet file: deploy/fleet.json's form with the given options.
fleet_file() {
	local file=$1 options=$2 members= m
	shift 2
	local voters=${voters:-'"n0", "n1", "n2"'}
	for m in "$@"; do
		members+="${members:+, }{\"name\": \"${m%%=*}\", \"address\": \"${m#*=}\"}"
	done
	cat >"$file" <<-JSON
	{"fleet": "fleet-1", "key": "6578616d706c65666c6565746b657921", "members": [$members],
	 "probe_ms": 250, "voters": [$voters], "term_ms": 1200${options:+, $options}}
	JSON
}

# wait_members OPS COUNT waits until a member sees so many members alive and its view is fresh.
wait_members() {
	local i answer
	for i in $(seq 200); do
		answer=$($tool call -addr "$1" members)
		[ "$(grep -o '"state":"alive"' <<<"$answer" | wc -l)" -ge "$2" ] && return
		sleep 0.1
	done
	cannot_run "the fleet did not form: $answer"
}
