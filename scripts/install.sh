#!/usr/bin/env bash
# Installs the compiler, tools and libraries on a fresh Debian 12 machine.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(cmake g++ make ninja-build pkg-config ccache clang-format clang-tidy
  libgrpc++-dev protobuf-compiler protobuf-compiler-grpc libprotobuf-dev
  libzmq3-dev cppzmq-dev libgoogle-glog-dev libpopt-dev doctest-dev
  prometheus-cpp-dev libxxhash-dev librapidcheck-dev libboost-dev
  nlohmann-json3-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
