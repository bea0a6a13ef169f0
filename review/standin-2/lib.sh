# Common parts of the second review's scripts; they source it after setting `here` to the folder of the case.
# A script exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
TROUBLE=${TROUBLE:-1}
tool=bin/standin-2
record=$here/record.txt
work=$(mktemp -d) || exit 2
pids=()
: >"$record"

# finish ends every process that was started, and waits until all have ended.
finish() {
	local pid
	disown -a
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done
	done
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

for program in bin/rampspread "$tool"; do
	[ -x "$program" ] || { echo "$program is not built: deploy/balancer.toml and review/build-2.sh" >&2; exit 2; }
done

note() { $tool note -record "$record" -- "$@"; }

cannot_run() {
	note "the case couldn't run: $*"
	echo "couldn't run: $*" >&2
	exit 2
}

broken() {
	note "BROKEN: $*"
	echo "broken: $*"
	exit 1
}

held() {
	note "HELD: $*"
	echo "held: $*"
	exit 0
}

# start_replicas FLAGS starts discovery, readers and writers, and sets DISCOVERY and CONTROL.
start_replicas() {
	$tool replicas -record "$record" -addrs "$work/addrs" "$@" 2>"$work/replicas.log" &
	pids+=($!)
	local i
	for i in $(seq 100); do
		[ -s "$work/addrs" ] && break
		sleep 0.05
	done
	[ -s "$work/addrs" ] || cannot_run "the replicas did not start"
	. "$work/addrs"
}

control() { $tool get -url "http://$CONTROL/?$1" >/dev/null; }

# ran TEXT prints how often a text began to run at a writer.
ran() { $tool get -url "http://$CONTROL/?ran=$1" | cut -d' ' -f2; }

# The deploy file's command, as it stands there.
run_command=$(sed -n 's/^run = "\(.*\)"[[:space:]]*#.*$/\1/p' deploy/balancer.toml | sed 's/\\"/"/g')
[ -n "$run_command" ] || { echo "deploy/balancer.toml has no run" >&2; exit 2; }

# start_dispatcher LABEL NAME LISTEN OPS FLAGS starts a dispatcher with the deploy file's command and further flags, waits
# until its operators' call answers that it serves, and sets `pid`. TMPDIR is the platform's private folder of NAME.
start_dispatcher() {
	local label=$1 name=$2 listen=$3 ops=$4
	shift 4
	launch_dispatcher "$label" "$name" "$listen" "$ops" "$@"
	local i
	for i in $(seq 200); do
		case $($tool call -addr "$ops" check) in SUCCESS*) note "$label serves, pid $pid"; return ;; esac
		kill -0 "$pid" 2>/dev/null || cannot_run "$label ended: $(tail -n 1 "$work/$label.log")"
		sleep 0.05
	done
	cannot_run "$label does not serve: $(tail -n 1 "$work/$label.log")"
}

launch_dispatcher() {
	local label=$1 name=$2 listen=$3 ops=$4
	shift 4
	mkdir -p "$work/tmp-$name"
	TMPDIR=$work/tmp-$name LB_CONFIG=${config:-$root/example/config.json} LB_NAME=$name LB_LISTEN=$listen LB_OPS=$ops \
		LB_DISCOVERY=$DISCOVERY /bin/sh -c "$run_command $*" >>"$work/$label.log" 2>&1 &
	pid=$!
	pids+=("$pid")
	local flags=${*//$work/TMP}
	note "$label started: $run_command ${flags//$root/ROOT}"
}

# chat_file PORT FILE [KEEP_S] writes deploy/chat.json with another address.
chat_file() { sed -e "s/127.0.0.1:8080/127.0.0.1:$1/" -e "s/86400/${3:-86400}/" deploy/chat.json >"$2"; }

# wait_ended PID SECONDS waits until a process has ended.
wait_ended() {
	local i
	for i in $(seq $(($2 * 20))); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.05
	done
	return 1
}

field() { sed -n "s/.*\b$1=\([^ ]*\).*/\1/p" <<<"$2"; }

# copy_logs keeps the dispatchers' logs at the end of the record.
copy_logs() {
	local f
	for f in "$work"/*.log; do
		sed "s|$work|TMP|g; s|$root|ROOT|g; s|^|log $(basename "$f" .log): |" "$f" | tail -n 200 >>"$record"
	done
}
