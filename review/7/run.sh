#!/bin/sh
# Plays the case "handedover" (review/stand) and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 plays it without the disruption. First: the build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../stand/bin/stand ]; then
	echo "review/build-2.sh has not been run" >&2
	exit 2
fi
exec ../stand/bin/stand -case handedover -root ../.. -record record.txt
