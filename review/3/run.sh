#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case3 ] && [ -x ../../bin/ashshunt ] || exit 2
exec ../bin/case3 "$(cd ../.. && pwd)" "$PWD"
