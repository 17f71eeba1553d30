#!/usr/bin/env bash
# Installs what the build and the tests need on a Debian machine, where it is
# not there yet.
set -eu
packages="g++ cmake ninja-build make curl python3-minimal git clang-format
  clang-tidy flatbuffers-compiler libflatbuffers-dev libpoco-dev
  libboost-log-dev libboost-thread-dev libboost-dev libabsl-dev catch2 libyaml-cpp-dev
  libgflags-dev librapidcheck-dev libxxhash-dev"
missing=
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
