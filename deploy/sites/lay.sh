#!/bin/sh
# Lays beside the sites of this folder what the bench wants there, from the operators' kit; git ignores it.
# Usage: sh deploy/sites/lay.sh KIT
set -eu
from="${1:?the kit\'s folder}/more/mass/other"
to=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
	cp "$from/$file" "$to/$file.new"
	chmod 644 "$to/$file.new"
	mv "$to/$file.new" "$to/$file"
done
