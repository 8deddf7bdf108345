#!/bin/sh
# The stand-ins are Python 3 (standard library only) and need no build; the scripts start the deploy
# file's target/release/shalelined.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
