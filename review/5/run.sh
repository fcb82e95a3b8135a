#!/bin/sh
# A planned stop, and streams that were accepted and are cut off.
# With TROUBLE=0 in the environment it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
for program in currantwood review-stand; do
	if [ ! -x "../../target/$program" ]; then
		echo "target/$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec ../../target/review-stand stop ../.. .
