#!/bin/bash
# Runs all tests. The tests that KNOWN-RED.txt lists run separately: their result is printed and is not counted. Each
# line of KNOWN-RED.txt that is neither empty nor a comment lists one test. PACKAGE has the form that go test accepts.
# The line states why the test fails, the command and the seed that reproduce the failure, and what was observed:
#
#   PACKAGE TEST: CAUSE; run: go test ARGUMENTS; seed: NUMBER or none; seen: OBSERVATION (issue N)
set -euo pipefail
cd "$(dirname "$0")/.."

max_known_red_tests=3
known_red_timeout=120s
known_red_output_lines=20 # lines printed of the output of each test, counted from its end
line_form='^(\./[a-z/]+) (Test[A-Za-z0-9_]+): [^;]+; run: go test [^;]+; seed: ([0-9]+|none); seen: .+ \(issue [0-9]+\)$'
line_form_text='PACKAGE TEST: CAUSE; run: go test ARGUMENTS; seed: NUMBER or none; seen: OBSERVATION (issue N)'

known_red_entries=() # lines of KNOWN-RED.txt that list a test
known_red_names=()   # names of these tests, in the same order

main() {
	read_known_red
	run_required_tests
	run_known_red_tests
}

# fail prints a message about KNOWN-RED.txt and exits with status 1.
fail() {
	echo "KNOWN-RED.txt: $1" >&2
	exit 1
}

# read_known_red reads and validates KNOWN-RED.txt. The file may be absent.
read_known_red() {
	[ -f KNOWN-RED.txt ] || return 0
	mapfile -t known_red_entries < <(grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt || true)
	[ "${#known_red_entries[@]}" -le "$max_known_red_tests" ] ||
		fail "it lists ${#known_red_entries[@]} tests, at most $max_known_red_tests are allowed"
	local line
	for line in "${known_red_entries[@]}"; do
		parse_line "$line"
		validate_test_is_unique "$test_package" "$test_name"
		known_red_names+=("$test_name")
	done
}

# parse_line sets test_package and test_name from a line of KNOWN-RED.txt.
parse_line() {
	[[ $1 =~ $line_form ]] || fail "the line '$1' does not have the form '$line_form_text'"
	test_package=${BASH_REMATCH[1]}
	test_name=${BASH_REMATCH[2]}
}

# validate_test_is_unique fails unless exactly one test has the name $2 and that test is in the package $1. A name that
# no test has would hide a mistake in KNOWN-RED.txt. A name that two tests have would exclude both from the required
# tests.
validate_test_is_unique() {
	local package_count total_count
	package_count=$(count_tests "$2" "$1")
	total_count=$(count_tests "$2" ./...)
	[ "$package_count $total_count" = "1 1" ] ||
		fail "$2 must name exactly one test: found $package_count in $1 and $total_count in ./..."
}

# count_tests prints how many tests of the packages $2 have the name $1. It fails if go test cannot list the tests, for
# example because a package does not compile.
count_tests() {
	local listing
	listing=$(go test -list "^$1\$" "$2") || fail "go test cannot list the tests of $2"
	grep -cx "$1" <<<"$listing" || [ "$?" -eq 1 ] # grep exits with 1 if no line matches
}

# run_required_tests runs all tests except the known red tests. The tests of internal/ run under the race detector.
run_required_tests() {
	local skip=()
	[ "${#known_red_names[@]}" -eq 0 ] || skip=("-skip=^($(IFS='|'; echo "${known_red_names[*]}"))\$")
	go test -count=1 "${skip[@]}" ./balancer/... ./cmd/... ./docs/...
	go test -count=1 -race "${skip[@]}" ./internal/...
}

# run_known_red_tests runs the known red tests and prints the end of their output. A failure does not change the exit
# status.
run_known_red_tests() {
	local line
	for line in "${known_red_entries[@]}"; do
		parse_line "$line"
		echo "known red: $line"
		if go test -count=1 -timeout "$known_red_timeout" -race -run "^$test_name\$" "$test_package" 2>&1 |
			tail -n "$known_red_output_lines"; then
			echo "$test_name passed; keep it in KNOWN-RED.txt until its cause is fixed"
		fi
	done
}

main
