#!/usr/bin/env bash
# Installs what the build, the tests and the checks need on Debian 12.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy git curl python3
  libtbb-dev libnng-dev libboost-dev libcpp-httplib-dev libtomlplusplus-dev
  libcxxopts-dev libfmt-dev catch2 libmsgpack-cxx-dev libxxhash-dev
  nlohmann-json3-dev libssl-dev libuv1-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=()
  [ "$(id -u)" -eq 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
fi
