#!/bin/bash
# The project's one test command (see README.md): formatting, vet, golangci-lint, the size of files, tests, the deploy
# file's build, its list of decision files, and a start of both programs. The first step that fails ends it.
set -euo pipefail
cd "$(dirname "$0")"

max_file_lines=500     # of a file without tests
max_policy_columns=110 # of a file that the deploy file's policy names
max_start_polls=300    # of the agent's log until it serves, one each start_poll_seconds
start_poll_seconds=0.1

dir= # holds the configuration and the log of the agent that check_agent starts
pid= # of that agent; empty: it is not running

main() {
	check_sources
	check_file_sizes
	bash tools/test.sh
	build
	check_policy
	check_adapter
	check_agent
	echo "both programs start"
}

fail() {
	echo "$1" >&2
	exit 1
}

# fail_with_log prints the agent's log behind the message.
fail_with_log() {
	echo "$1" >&2
	cat "$dir/log" >&2
	exit 1
}

# deploy_key prints a key of the deploy file that holds a string.
deploy_key() { sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/balancer.toml; }

# check_sources runs the formatter, the module's check, vet and the linters.
check_sources() {
	local unformatted
	unformatted=$(gofmt -l .)
	[ -z "$unformatted" ] || fail "gofmt: these files are not formatted: ${unformatted//$'\n'/ }"
	go mod tidy -diff
	go vet ./...
	bash tools/lint.sh
}

# check_file_sizes bounds the lines of each file, tests aside.
check_file_sizes() {
	local file file_lines
	for file in $(find balancer cmd internal -name '*.go' ! -name '*_test.go'); do
		file_lines=$(wc -l <"$file")
		[ "$file_lines" -le "$max_file_lines" ] || fail "$file: $file_lines lines, $max_file_lines allowed"
	done
}

# build runs the deploy file's build command.
build() {
	local command
	command=$(deploy_key build)
	[ -n "$command" ] || fail "deploy/balancer.toml: no build command"
	sh -c "$command"
}

# check_policy compares the deploy file's policy with balancer/: it names each file that holds decision logic or its
# state, and these have no long lines.
check_policy() {
	local policy file
	policy=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
	[ -n "$policy" ] || fail "deploy/balancer.toml: policy names no file"
	for file in $policy; do
		[ -s "$file" ] || fail "deploy/balancer.toml: policy names $file, which is missing or empty"
		# A tab counts as four columns here, as in most editors.
		if expand -t 4 "$file" | grep -nE "^.{$((max_policy_columns + 1)),}"; then
			fail "$file: lines of over $max_policy_columns columns"
		fi
	done
	for file in balancer/*.go; do
		holds_no_decisions "$file" && continue
		case " $policy " in
		*" $file "*) ;;
		*) fail "deploy/balancer.toml: policy does not name $file" ;;
		esac
	done
}

# holds_no_decisions reports whether a file of balancer/ holds neither decision logic nor its state.
holds_no_decisions() {
	case "$1" in
	*_test.go) return 0 ;;
	balancer/events.go | balancer/actions.go | balancer/settings.go | balancer/validation.go | balancer/doc.go) return 0 ;;
	esac
	return 1
}

# check_adapter checks that the adapter replies to an empty batch.
check_adapter() {
	local reply
	reply=$(printf '{"msg":"Frame","ClockMs":1}\n{"msg":"End"}\n' | sh -c "$(deploy_key sim)")
	[ "$reply" = '{"msg":"Eor"}' ] || fail "the adapter answered '$reply' to an empty batch"
}

# check_agent checks that the agent rejects a configuration that is missing, starts, and exits with status 0 on SIGTERM.
check_agent() {
	dir=$(mktemp -d)
	trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
	check_missing_configuration
	write_configuration
	GW_CONFIG="$dir/config.json" sh -c "$(deploy_key run)" 2>"$dir/log" &
	pid=$!
	await_serving
	kill -TERM "$pid"
	local status=0
	wait "$pid" || status=$?
	pid=
	[ "$status" -eq 0 ] || fail_with_log "the agent ended with status $status:"
}

# check_missing_configuration checks that the agent ends with one line on what is wrong.
check_missing_configuration() {
	if GW_CONFIG="$dir/none.json" sh -c "$(deploy_key run)" 2>"$dir/log"; then
		fail "the agent starts without a configuration"
	fi
	[ "$(wc -l <"$dir/log")" -eq 1 ] || fail_with_log "not one plain line for a bad configuration:"
}

write_configuration() {
	cat >"$dir/config.json" <<'JSON'
{"name": "check", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": {"version": 1, "full": true, "servers": []},
 "settings": {"Balancers": 1, "Me": 0, "Contract": {"ColdFrom": 1}, "PolicyLimits": {"ConnectTimeoutMs": 250},
  "Profiles": [{"Name": "a", "AimMs": 100, "DeadlineMs": 500, "Worth": 1, "Semantics": "once"}]}}
JSON
}

# await_serving waits until the agent's log says that it serves, or the agent has ended.
await_serving() {
	for _ in $(seq "$max_start_polls"); do
		grep -q 'msg=serving' "$dir/log" && break
		kill -0 "$pid" 2>/dev/null || break
		sleep "$start_poll_seconds"
	done
	grep -q 'msg=serving' "$dir/log" || fail_with_log "the agent does not start:"
}

main
