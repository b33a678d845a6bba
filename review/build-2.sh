#!/bin/bash
# Builds what the scripts of review/4 to review/8 start beside the programs of the deploy file: nothing. Their stand-ins are
# Python (3.11 or newer, standard library only), in review/4/harness.py and in the case.py beside each script.
set -e
cd "$(dirname "$0")/.."
test -x target/release/woadreach-proxy && test -x target/release/woadreach-control
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
