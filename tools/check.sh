#!/usr/bin/env bash
# Format, linter, generated code, events catalogue and bench signature.
set -u
build=${1:?build folder}
bad=0
complain() { echo "check: $1"; bad=1; }
ours=$(git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v _generated)

clang-format --dry-run -Werror $ours >/tmp/waycove-format.$$ 2>&1 ||
  { head -20 /tmp/waycove-format.$$; complain "clang-format differs; run make format"; }
rm -f /tmp/waycove-format.$$

made=$(mktemp -d)
flatc --cpp --gen-object-api --cpp-std c++17 --scoped-enums --cpp-include wire/verifier.h -o "$made" src/wire/wire.fbs &&
  cmp -s "$made/wire_generated.h" src/wire/wire_generated.h ||
  complain "src/wire/wire_generated.h is not what flatc makes of wire.fbs"
rm -rf "$made"

"$build/waycoved" --list_events | cmp -s - docs/EVENTS.md ||
  complain "docs/EVENTS.md is not what waycoved --list_events prints"

for file in $ours; do
  grep -q "Licensed under the Apache License" "$file" || complain "$file: no licence note"
done

# The steady clock does not count the time that a machine is suspended.
git grep -nE 'steady_clock|CLOCK_MONOTONIC' -- src platform ':!src/bench' &&
  complain "a moment of the steady clock; BootClock counts suspended time"

# Which folder may include which; itself is always meant.
may_include() { # folder, folders...
  local folder=$1
  shift
  local allowed="$folder $*"
  local headers
  headers=$(git ls-files "src/$folder/*.h" "src/$folder/*.cpp" "$folder/*.h" "$folder/*.cpp" | grep -v _generated)
  for other in $(grep -hoE '^#include "[a-z]+/' $headers | cut -d'"' -f2 | tr -d / | sort -u); do
    case " $allowed flatbuffers " in
    *" $other "*) ;;
    *) complain "$folder includes $other, which docs/DESIGN.md does not allow" ;;
    esac
  done
}
may_include base
may_include policy base wire
may_include board base policy wire
may_include wire base policy board
may_include net base policy
may_include control base policy board wire
may_include entry base policy board control net
may_include edge base policy board wire control net
may_include platform base policy board control net entry
may_include bench base policy board wire control

# The newest commit that names a signature has to name the present one.
said=$(git log -100 --format=%B | grep -m1 -oE '^Bench: [0-9]+' | cut -d' ' -f2)
is=$("$build/waycove" bench | grep -oE '^Bench: [0-9]+' | cut -d' ' -f2)
[ -n "$is" ] && [ "$said" = "$is" ] ||
  complain "bench prints '$is', but the history says '$said'"

sources=$(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp')
tidy=$(echo $sources | tr ' ' '\n' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null)
if echo "$tidy" | grep -qE '(warning|error):'; then
  echo "$tidy" | grep -E '(warning|error):' | sort -u | head -40
  complain "clang-tidy"
fi
[ $bad = 0 ] && echo "check: all clean"
exit $bad
