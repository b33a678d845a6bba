#!/usr/bin/env python3
"""The system packages of a clean build: the deploy files, CONTRIBUTING.md and Cargo.lock say the same."""

import re
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILES = ["deploy/system.toml", "deploy/balancer.toml"]
# Crates whose build scripts call programs or libraries that `gcc` and `libc6-dev` do not bring.
FURTHER_BUILD_TOOLS = {"cmake", "pkg-config", "bindgen", "autotools", "vcpkg", "protobuf-src", "nasm-rs"}


def read_toml(path):
    return tomllib.loads((ROOT / path).read_text())


def locked_crates():
    return {package["name"] for package in read_toml("Cargo.lock")["package"]}


class Packages(unittest.TestCase):
    def test_both_deploy_files_list_the_same(self):
        lists = [read_toml(path)["packages"] for path in DEPLOY_FILES]
        self.assertEqual(lists[0], lists[1])
        self.assertEqual(lists[0], sorted(set(lists[0])))

    def test_the_linker_and_the_c_runtime_are_listed(self):
        # rustc links through `cc`, with the start files of the C library, on every Linux target with glibc.
        for path in DEPLOY_FILES:
            self.assertTrue({"gcc", "libc6-dev"} <= set(read_toml(path)["packages"]), path)

    def test_contributing_names_each_of_them_and_no_other(self):
        text = (ROOT / "CONTRIBUTING.md").read_text()
        sentence = re.search(r"two Debian packages: (.*?)\. They stand", text, re.DOTALL).group(1)
        named = [name for name in re.findall(r"`([^`]+)`", sentence) if name not in locked_crates()]
        self.assertEqual(named, read_toml("deploy/system.toml")["packages"])

    def test_no_dependency_needs_further_tools(self):
        self.assertEqual(locked_crates() & FURTHER_BUILD_TOOLS, set())

    def test_the_build_commands_are_the_same(self):
        builds = {read_toml(path)["build"] for path in DEPLOY_FILES}
        self.assertEqual(builds, {"cargo build --release"})


if __name__ == "__main__":
    unittest.main()
