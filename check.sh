#!/bin/bash
# Runs all checks of the repository (see README.md): formatting, go.mod, go vet, golangci-lint, file sizes, tests, the
# build command of deploy/balancer.toml, its list of decision files, and a start of both programs. Stops at the first
# check that fails.
set -euo pipefail
cd "$(dirname "$0")"

max_file_lines=500     # lines of a Go file, test files excepted
max_policy_columns=110 # columns of a line in a file that policy in deploy/balancer.toml names
max_start_polls=300    # polls of the agent's log for its start message
start_poll_seconds=0.1 # interval between polls

agent_dir= # directory of the configuration and the log of the agent that check_agent starts
agent_pid= # process ID of that agent; empty if it is not running

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

# fail prints a message and exits with status 1.
fail() {
	echo "$1" >&2
	exit 1
}

# fail_with_log prints a message and the agent's log, and exits with status 1.
fail_with_log() {
	echo "$1" >&2
	cat "$agent_dir/log" >&2
	exit 1
}

# print_deploy_value prints the string value of a key of deploy/balancer.toml.
print_deploy_value() { sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/balancer.toml; }

# check_sources runs gofmt, go mod tidy -diff, go vet and golangci-lint.
check_sources() {
	local unformatted
	unformatted=$(gofmt -l .)
	[ -z "$unformatted" ] || fail "gofmt: these files are not formatted: ${unformatted//$'\n'/ }"
	go mod tidy -diff
	go vet ./...
	bash tools/lint.sh
}

# check_file_sizes checks that no Go file has more than max_file_lines lines. It does not check test files.
check_file_sizes() {
	local file file_lines
	for file in $(find balancer cmd internal -name '*.go' ! -name '*_test.go'); do
		file_lines=$(wc -l <"$file")
		[ "$file_lines" -le "$max_file_lines" ] ||
			fail "$file has $file_lines lines, at most $max_file_lines are allowed"
	done
}

# build runs the build command of deploy/balancer.toml.
build() {
	local command
	command=$(print_deploy_value build)
	[ -n "$command" ] || fail "deploy/balancer.toml: no value found for the key build"
	sh -c "$command"
}

# check_policy checks that policy in deploy/balancer.toml names each file of balancer/ that has decision logic or its
# state, that each named file exists and is not empty, and that none has a line of more than max_policy_columns columns.
check_policy() {
	local policy file
	policy=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
	[ -n "$policy" ] || fail "deploy/balancer.toml: the key policy is missing or names no file"
	for file in $policy; do
		[ -s "$file" ] || fail "deploy/balancer.toml: policy names $file, which is missing or empty"
		# A tab counts as four columns, as in most editors.
		if expand -t 4 "$file" | grep -nE "^.{$((max_policy_columns + 1)),}"; then
			fail "$file has lines of more than $max_policy_columns columns"
		fi
	done
	for file in balancer/*.go; do
		has_no_decisions "$file" && continue
		case " $policy " in
		*" $file "*) ;;
		*) fail "deploy/balancer.toml: policy does not name $file" ;;
		esac
	done
}

# has_no_decisions reports whether a file of balancer/ has neither decision logic nor its state.
has_no_decisions() {
	case "$1" in
	*_test.go) return 0 ;;
	balancer/events.go | balancer/actions.go | balancer/settings.go | balancer/validation.go | balancer/doc.go) return 0 ;;
	esac
	return 1
}

# check_adapter checks that the adapter replies to an empty batch.
check_adapter() {
	local reply
	reply=$(printf '{"msg":"Frame","ClockMs":1}\n{"msg":"End"}\n' | sh -c "$(print_deploy_value sim)")
	[ "$reply" = '{"msg":"Eor"}' ] || fail "the adapter replied '$reply' to an empty batch, want '{\"msg\":\"Eor\"}'"
}

# check_agent checks that the agent rejects a missing configuration file, starts with a valid one, and exits with status
# 0 on SIGTERM.
check_agent() {
	agent_dir=$(mktemp -d)
	trap '[ -z "$agent_pid" ] || kill "$agent_pid" 2>/dev/null || true; rm -rf "$agent_dir"' EXIT
	check_missing_configuration
	write_configuration
	GW_CONFIG="$agent_dir/config.json" sh -c "$(print_deploy_value run)" 2>"$agent_dir/log" &
	agent_pid=$!
	wait_for_serving
	kill -TERM "$agent_pid"
	local status=0
	wait "$agent_pid" || status=$?
	agent_pid=
	[ "$status" -eq 0 ] || fail_with_log "the agent exited with status $status on SIGTERM, want 0; its log:"
}

# check_missing_configuration checks that the agent exits with a non-zero status and logs exactly one line if its
# configuration file is missing.
check_missing_configuration() {
	if GW_CONFIG="$agent_dir/none.json" sh -c "$(print_deploy_value run)" 2>"$agent_dir/log"; then
		fail "the agent exited with status 0 although its configuration file is missing, want another status"
	fi
	[ "$(wc -l <"$agent_dir/log")" -eq 1 ] ||
		fail_with_log "the agent did not log exactly one line for a missing configuration file; its log:"
}

# write_configuration writes a valid configuration file for the agent.
write_configuration() {
	cat >"$agent_dir/config.json" <<'JSON'
{"name": "check", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": {"version": 1, "full": true, "servers": []},
 "settings": {"Balancers": 1, "Me": 0, "Contract": {"ColdFrom": 1}, "PolicyLimits": {"ConnectTimeoutMs": 250},
  "Profiles": [{"Name": "a", "AimMs": 100, "DeadlineMs": 500, "Worth": 1, "Semantics": "once"}]}}
JSON
}

# wait_for_serving waits until the agent logs its start message. It fails if the agent exits before that, or does not
# log the message within max_start_polls polls.
wait_for_serving() {
	for _ in $(seq "$max_start_polls"); do
		grep -q 'msg=serving' "$agent_dir/log" && break
		kill -0 "$agent_pid" 2>/dev/null || break
		sleep "$start_poll_seconds"
	done
	grep -q 'msg=serving' "$agent_dir/log" ||
		fail_with_log "the agent exited or did not log msg=serving within $max_start_polls polls; its log:"
}

main
