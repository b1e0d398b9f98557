#!/bin/bash
# Case 4 of the second review, see claim.txt. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0: no disruption. TROUBLE=final: only the freeze and the final fault.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/review-2/boxes" ] && [ -x "$root/target/leverdrumd" ] || exit 2
exec "$root/target/review-2/boxes" "$root" "$here"
