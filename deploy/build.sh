#!/bin/sh
# Builds the program for the platform into target/. Builds of one folder run one
# after the other; an interrupted one leaves nothing that the next one trusts.
set -eu
cd "$(dirname "$0")/.."

mkdir -p target
exec 9>target/.build-lock
if command -v flock >/dev/null; then flock 9; fi

# Written last: modules without it, or of another lock file, another kind of
# machine or another runtime, are installed again.
installed=node_modules/.carawaywind-installed
wanted="$(cksum <package-lock.json) $(node -p 'process.platform + " " + process.arch + " " + process.versions.modules')"
if [ "$(cat "$installed" 2>/dev/null)" != "$wanted" ]; then
  # The build needs development dependencies, whatever the environment says.
  npm ci --include=dev --silent
  printf '%s\n' "$wanted" >"$installed"
fi

node node_modules/typescript/bin/tsc -p tsconfig.deploy.json --noEmit
node platform/bundle.mjs
