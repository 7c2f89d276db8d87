#!/bin/bash
# Runs all tests. Those that KNOWN-RED.txt names run apart from the others: their result is printed and does not count.
# Each of its lines that is neither empty nor a comment names one test, PACKAGE as in go test, and says why it fails, how
# to see that, with which seed, and what was seen:
#
#   PACKAGE TEST: CAUSE; run: go test ARGUMENTS; seed: NUMBER or none; seen: OBSERVATION (issue N)
set -euo pipefail
cd "$(dirname "$0")/.."

max_known_red=3
known_red_timeout=120s
known_red_output_lines=20
line_form='^(\./[a-z/]+) (Test[A-Za-z0-9_]+): [^;]+; run: go test [^;]+; seed: ([0-9]+|none); seen: .+ \(issue [0-9]+\)$'
line_form_text='PACKAGE TEST: CAUSE; run: go test ARGUMENTS; seed: NUMBER or none; seen: OBSERVATION (issue N)'

known_red=() # the lines of KNOWN-RED.txt
names=()     # the names of the tests in these lines

main() {
	read_known_red
	run_counted_tests
	run_known_red
}

fail() {
	echo "KNOWN-RED.txt: $1" >&2
	exit 1
}

# read_known_red reads and checks KNOWN-RED.txt, which may be absent.
read_known_red() {
	[ -f KNOWN-RED.txt ] || return 0
	mapfile -t known_red < <(grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt || true)
	[ "${#known_red[@]}" -le "$max_known_red" ] || fail "${#known_red[@]} tests, $max_known_red allowed"
	local line
	for line in "${known_red[@]}"; do
		parse_line "$line"
		check_is_one_test "$package" "$name"
		names+=("$name")
	done
}

# parse_line sets package and name from a line of KNOWN-RED.txt.
parse_line() {
	[[ $1 =~ $line_form ]] || fail "not '$line_form_text': $1"
	package=${BASH_REMATCH[1]}
	name=${BASH_REMATCH[2]}
}

# check_is_one_test fails for a name that no test has, which would hide a mistake, and for one that two tests have, which
# would leave out a test too many.
check_is_one_test() {
	local in_package in_all
	in_package=$(count_tests "$2" "$1")
	in_all=$(count_tests "$2" ./...)
	[ "$in_package $in_all" = "1 1" ] || fail "$2 is not one test, in $1"
}

# count_tests prints how many tests in packages have a name. It fails where the tests can't be listed, such as for one
# that does not compile.
count_tests() {
	local listed
	listed=$(go test -list "^$1\$" "$2") || fail "the tests of $2 can't be listed"
	grep -cx "$1" <<<"$listed" || [ "$?" -eq 1 ] # 1: none
}

# run_counted_tests runs all tests but the known red ones, those of internal/ with the race detector.
run_counted_tests() {
	local skip=()
	[ "${#names[@]}" -eq 0 ] || skip=("-skip=^($(IFS='|'; echo "${names[*]}"))\$")
	go test -count=1 "${skip[@]}" ./balancer/... ./cmd/... ./docs/...
	go test -count=1 -race "${skip[@]}" ./internal/...
}

# run_known_red runs the known red tests and prints the end of their output.
run_known_red() {
	local line
	for line in "${known_red[@]}"; do
		parse_line "$line"
		echo "known red: $line"
		if go test -count=1 -timeout "$known_red_timeout" -race -run "^$name\$" "$package" 2>&1 |
			tail -n "$known_red_output_lines"; then
			echo "$name passed; it stays listed until its cause is mended"
		fi
	done
}

main
