#!/bin/sh
# The stand-ins of the second review (review/standins-2) are Python and need no
# build; this checks that they load with what the machine has.
cd "$(dirname "$0")" && exec python3 -B -c 'import sys; sys.path.insert(0, "standins-2"); import bed'
