#!/usr/bin/env python3
"""Tests the check of the build's packages, without running a build."""

import unittest

from build_trace import BuildUse
from package_database import PackageDatabase, first_name
from verdict import Verdict


class FixedDatabase(PackageDatabase):
    """A database with fixed dependencies instead of those of the local machine."""

    def __init__(self, dependencies, essential=(), providers=None):
        self.dependencies = dependencies
        self.essential = set(essential)
        self.providers = providers or {}


DATABASE = FixedDatabase(
    {
        "g++": [["g++-12"]],
        "g++-12": [],
        "libjson-dev": [["libboost-dev"]],
        "libboost-dev": [],
        "libnng-dev": [],
        "coreutils": [],
        "llvm-14-linker-tools": [["libllvm14"]],
        "libllvm14": [],
    },
    essential=["coreutils"],
)
OWNERS = {
    "/usr/bin/g++-12": {"g++-12"},
    "/usr/include/json.h": {"libjson-dev"},
    "/usr/include/boost.h": {"libboost-dev"},
    "/usr/bin/uname": {"coreutils"},
    "/usr/lib/bfd-plugins/LLVMgold.so": {"llvm-14-linker-tools"},
    "/usr/lib/libLLVM-14.so": {"libllvm14"},
}
LISTED = ["g++", "libjson-dev"]


class VerdictTest(unittest.TestCase):
    def faults(self, listed):
        return Verdict(DATABASE, OWNERS, OWNERS.keys(), listed).faults()

    def test_accepts_listed_packages_their_dependencies_and_the_essential_ones(self):
        self.assertEqual(self.faults(LISTED), [])

    # Guards against a check that passes only because all packages are installed on the machine.
    def test_refuses_the_list_without_any_one_of_its_lines(self):
        for name in LISTED:
            with self.subTest(without=name):
                faults = self.faults([other for other in LISTED if other != name])
                self.assertTrue(faults)
                self.assertTrue(all("which is not listed" in fault for fault in faults))

    # Guards against a build that fails on a clean machine because it searches for a library that only a
    # benchmark links.
    def test_refuses_an_installed_package_that_is_not_listed(self):
        owners = OWNERS | {"/usr/lib/libnng.so": {"libnng-dev"}}
        faults = Verdict(DATABASE, owners, owners.keys(), LISTED).faults()
        self.assertEqual(faults, ["the build uses libnng-dev, which is not listed: /usr/lib/libnng.so and 0 more"])

    # Guards against lines whose removal the check would not detect.
    def test_refuses_unused_and_implied_lines(self):
        for name in ("libnng-dev", "libboost-dev"):
            with self.subTest(name=name):
                self.assertEqual(self.faults([*LISTED, name]),
                                 [f"listed package {name} is unused, or comes with another listed package"])

    def test_refuses_a_line_that_names_no_package(self):
        self.assertIn("listed package libtypo-dev is not installed here", self.faults([*LISTED, "libtypo-dev"]))

    # Guards against manually installed libraries, which no package provides on a clean machine.
    def test_refuses_files_of_no_package(self):
        used = [*OWNERS, "/usr/local/include/own.h", "/etc/ld.so.cache"]
        self.assertEqual(Verdict(DATABASE, OWNERS, used, LISTED).faults(),
                         ["the build uses /usr/local/include/own.h, which belongs to no package"])


class DependenciesTest(unittest.TestCase):
    def test_follows_the_first_installed_alternative_and_providers(self):
        database = FixedDatabase({"a": [["absent", "b"], ["virtual"]], "b": [], "c": []}, providers={"virtual": {"c"}})
        self.assertEqual(database.with_dependencies(["a"]), {"a", "b", "c"})

    def test_reads_names_without_architecture_and_version(self):
        self.assertEqual([first_name(text) for text in ("libc6:any (>= 2.36)", " g++ ", "x [amd64]")],
                         ["libc6", "g++", "x"])


class BuildUseTest(unittest.TestCase):
    def setUp(self):
        self.use = BuildUse()

    def test_counts_files_that_are_read_run_or_only_found(self):
        self.use.add_trace([
            'openat(AT_FDCWD</copy/checkout>, "/usr/include/a.h", O_RDONLY|O_NOCTTY) = 4</usr/include/a.h>',
            'execve("/usr/bin/ninja", ["ninja"], 0x7f /* 9 vars */) = 0',
            'access("/usr/lib/libnng.so", R_OK)      = 0',
            'newfstatat(AT_FDCWD</copy/checkout/target>, "../src.cpp", {st_mode=S_IFREG}, 0) = 0',
        ])
        self.assertEqual(self.use.found, {"/usr/include/a.h", "/usr/bin/ninja", "/usr/lib/libnng.so",
                                          "/copy/checkout/target/../src.cpp"})

    def test_passes_over_files_that_are_not_there(self):
        self.use.add_trace(['access("/usr/lib/libz.so", R_OK) = -1 ENOENT (No such file or directory)'])
        self.assertEqual(self.use.found, set())

    # Guards against a build that succeeds in its checkout but also modifies the machine.
    def test_names_writes_outside_the_target_directory(self):
        self.use.add_trace([
            'openat(AT_FDCWD</c/checkout/target>, "a.o", O_RDWR|O_CREAT|O_TRUNC, 0666) = 3</c/checkout/target/a.o>',
            'openat(AT_FDCWD</c/checkout>, "/usr/share/b", O_WRONLY|O_CREAT, 0666) = 3</usr/share/b>',
            'openat(AT_FDCWD</c/checkout>, "stray", O_WRONLY|O_CREAT, 0666) = 3</c/checkout/stray>',
        ])
        self.assertEqual(self.use.stray_writes("/c"), {"/usr/share/b", "/c/checkout/stray"})

    # Guards against downloads, including those that fail on a machine without a network.
    def test_names_connections_over_the_network(self):
        self.use.add_trace([
            'connect(5<socket:[7]>, {sa_family=AF_INET, sin_port=htons(443)}, 16) = -1 EINPROGRESS (Now in progress)',
            'connect(3<socket:[8]>, {sa_family=AF_UNIX, sun_path="/run/nscd/socket"}, 110) = -1 ENOENT (No such file)',
        ])
        self.assertEqual(len(self.use.connections), 1)


if __name__ == "__main__":
    unittest.main()
