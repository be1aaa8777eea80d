#!/bin/bash
# The stand-ins need no build: they are Python 3 with its standard library only.
# The scripts run what deploy/system.toml builds, target/release/limpetferry-gateway
# and target/release/limpetferry-keeper.
exec python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else 2)'
