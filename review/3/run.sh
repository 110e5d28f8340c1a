#!/bin/bash
# Runs the case. TROUBLE=0 leaves out the disruption. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocuslug ] && [ -x target/_review/kit ] || exit 2
exec target/_review/kit drain review/3/record.txt
