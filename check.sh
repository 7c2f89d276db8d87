#!/bin/bash
# The project's one test command (see README.md): formatting, vet, golangci-lint, the size of files, tests, the deploy
# file's build, its list of decision files, and a start of both programs.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: these files are not formatted:" $unformatted >&2
	exit 1
fi
go mod tidy -diff
go vet ./...
bash tools/lint.sh

max_file_lines=500
for file in $(find balancer cmd internal -name '*.go' ! -name '*_test.go'); do
	file_lines=$(wc -l <"$file")
	if [ "$file_lines" -gt "$max_file_lines" ]; then
		echo "$file: $file_lines lines, $max_file_lines allowed" >&2
		exit 1
	fi
done

bash tools/test.sh

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "deploy/balancer.toml: no build command" >&2; exit 1; }
sh -c "$build"

# The files with decision logic or its state.
policy=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ] || { echo "deploy/balancer.toml: policy names no file" >&2; exit 1; }
for file in $policy; do
	[ -s "$file" ] || { echo "deploy/balancer.toml: policy names $file, which is missing or empty" >&2; exit 1; }
	# A tab counts as four columns here, as in most editors.
	if expand -t 4 "$file" | grep -nE '^.{111,}'; then
		echo "$file: lines of over 110 columns" >&2
		exit 1
	fi
done
for file in balancer/*.go; do
	case "$file" in
	*_test.go | balancer/events.go | balancer/actions.go | balancer/settings.go | balancer/validation.go | balancer/doc.go) continue ;; # interface
	esac
	case " $policy " in
	*" $file "*) ;;
	*) echo "deploy/balancer.toml: policy does not name $file" >&2; exit 1 ;;
	esac
done

# The adapter replies to an empty batch; the agent refuses a bad configuration, starts, and shuts down on SIGTERM.
key() { sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/balancer.toml; }
reply=$(printf '{"msg":"Frame","ClockMs":1}\n{"msg":"End"}\n' | sh -c "$(key sim)")
[ "$reply" = '{"msg":"Eor"}' ] || { echo "the adapter answered '$reply' to an empty batch" >&2; exit 1; }

dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
if GW_CONFIG="$dir/none.json" sh -c "$(key run)" 2>"$dir/log"; then
	echo "the agent starts without a configuration" >&2
	exit 1
fi
[ "$(wc -l <"$dir/log")" -eq 1 ] || { echo "not one plain line for a bad configuration:" >&2; cat "$dir/log" >&2; exit 1; }
cat >"$dir/config.json" <<'JSON'
{"name": "check", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": {"version": 1, "full": true, "servers": []},
 "settings": {"Balancers": 1, "Me": 0, "Contract": {"ColdFrom": 1}, "PolicyLimits": {"ConnectTimeoutMs": 250},
  "Profiles": [{"Name": "a", "AimMs": 100, "DeadlineMs": 500, "Worth": 1, "Semantics": "once"}]}}
JSON
GW_CONFIG="$dir/config.json" sh -c "$(key run)" 2>"$dir/log" &
pid=$!
for _ in $(seq 300); do
	grep -q 'msg=serving' "$dir/log" && break
	kill -0 "$pid" 2>/dev/null || break
	sleep 0.1
done
grep -q 'msg=serving' "$dir/log" || { echo "the agent does not start:" >&2; cat "$dir/log" >&2; exit 1; }
kill -TERM "$pid"
status=0
wait "$pid" || status=$?
pid=
[ "$status" -eq 0 ] || { echo "the agent ended with status $status:" >&2; cat "$dir/log" >&2; exit 1; }
echo "both programs start"
