#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/standin && test -x target/release/cornelarch-edge || exit 2
exec target/review-2/standin leave
