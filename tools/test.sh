#!/usr/bin/env bash
# Runs all tests of a build folder. Those that KNOWN-RED.txt lists (a line each:
# test | cause | issue) are run too and printed, but do not fail the run.
set -u
build=${1:?build folder}
here=$(cd "$(dirname "$0")/.." && pwd)
export TSAN_OPTIONS="suppressions=$here/tests/tsan.supp"
cd "$build" || exit 1
run() { ctest --output-on-failure --timeout 300 -j 4 "$@"; }

reds=$(sed 's/ *|.*//' "$here/KNOWN-RED.txt" | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd '|')
[ -z "$reds" ] && { run; exit; }
listed=$(ctest -N -R "^($reds)\$" | grep -c 'Test *#')
if [ "$listed" != "$(grep -c . "$here/KNOWN-RED.txt")" ]; then
  echo "KNOWN-RED.txt names a test that does not exist"
  exit 1
fi
run -E "^($reds)\$"
result=$?
echo "known to be red (KNOWN-RED.txt):"
cat "$here/KNOWN-RED.txt"
run -R "^($reds)\$" | grep -E '^ *[0-9]+/[0-9]+ Test'
exit $result
