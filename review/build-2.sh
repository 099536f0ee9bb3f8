#!/bin/sh
# Checks what the cases 6 to 10 need. Their stand-ins are Python files and need no build; the programs that they start
# are those of the deploy file's build, in target/.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import http.client, selectors, struct, sys; sys.exit(sys.version_info < (3, 9))'
for program in front side core; do
    test -x "target/platform/peridotcleat-$program"
done
