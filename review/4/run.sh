#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out. Writes record.txt beside this file.
exec python3 -B "$(dirname "$0")/case.py"
