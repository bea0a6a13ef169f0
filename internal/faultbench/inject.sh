#!/bin/bash
# Soaks the program with system calls that strace makes fail, for long runs outside CI. It needs strace (Debian package strace).
#
#   internal/faultbench/inject.sh FOLDER [SEED]
#
# Each line of the list below is a soak of four processes over 20 s; the number of failed calls is printed at its end. FUTEX_WAKE never returns EINTR on Linux,
# and mmap's ENOMEM ends any Go program, so neither is in the list.
set -euo pipefail
folder=$1
seed=${2:-1}
bin=$(cd "$(dirname "$0")/../../bin" && pwd)
mkdir -p "$folder"
failed=0
while read -r name inject; do
	cat >"$folder/$name.sh" <<PROGRAM
#!/bin/bash
exec strace -D -f --seccomp-bpf -qq -o "$folder/$name.trace.\$\$" -e trace=${inject%%:*} -e inject=$inject "$bin/rampspread-faults" "\$@"
PROGRAM
	chmod +x "$folder/$name.sh"
	if timeout 120 "$bin/fleetrig" soak -program "$folder/$name.sh" -seed "$seed" -seconds 20 -dispatchers 4 \
		-faults sigterm,sigkill,sigstop,reset,drain,hang,leave,half,cold,watch,fail >"$folder/$name.out" 2>"$folder/$name.err"; then
		verdict=passed
	else
		verdict=FAILED
		failed=1
	fi
	injected=$(cat "$folder/$name".trace.* 2>/dev/null | grep -c INJECTED || true)
	echo "$name: $verdict, $injected calls failed"
	seed=$((seed + 1))
done <<'LIST'
accept-enobufs accept4:error=ENOBUFS:when=3+7
accept-eproto accept4:error=EPROTO:when=2+3
accept-enfile accept4:error=ENFILE:when=4+4
connect-eaddrnotavail connect:error=EADDRNOTAVAIL:when=5+4
connect-enobufs connect:error=ENOBUFS:when=3+3
socket-enfile socket:error=ENFILE:when=9+5
fdatasync-eio fdatasync:error=EIO:when=4+5
fdatasync-enospc fdatasync:error=ENOSPC:when=7+3
pwrite-enospc pwrite64:error=ENOSPC:when=9+6
pwrite-eio pwrite64:error=EIO:when=7+11
fsync-eio fsync:error=EIO:when=2+3
rename-eio renameat:error=EIO:when=2+2
epoll-eintr epoll_pwait:error=EINTR:when=5+5
read-etimedout read:error=ETIMEDOUT:when=300+301
write-econnreset write:error=ECONNRESET:when=300+301
openat-emfile openat:error=EMFILE:when=60+7
setsockopt-enobufs setsockopt:error=ENOBUFS:when=20+9
getsockname-enobufs getsockname:error=ENOBUFS:when=20+15
LIST
exit $failed
