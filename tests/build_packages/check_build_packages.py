#!/usr/bin/env python3
"""Checks that the build of deploy/system.toml uses only the system packages that the file lists.

The files that the build finds, reads and executes are compared with the listed packages, their
dependencies and Debian's essential packages. Other packages installed on this machine are ignored.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import tomllib

from build_trace import BuildFailed, trace_build
from package_database import PackageDatabase
from verdict import Verdict

ROOT = pathlib.Path(__file__).resolve().parents[2]


def measure(command):
    """Returns the files that the build uses, and its violations: writes outside target/ and connections."""
    with tempfile.TemporaryDirectory(prefix="peridot-build-") as copy:
        use = trace_build(ROOT, command, copy)
        conduct = [f"the build writes {path}, outside of target/" for path in sorted(use.stray_writes(copy))]
        conduct += [f"the build connects to the network: {line}" for line in sorted(use.connections)]
        return {"files": sorted(use.system_files(copy)), "conduct": conduct}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", action="store_true", help="print each used file, preceded by its package")
    parser.add_argument("--save", metavar="FILE", help="save the measured files")
    parser.add_argument("--load", metavar="FILE", help="check saved files instead of running a build")
    options = parser.parse_args()
    with (ROOT / "deploy/system.toml").open("rb") as file:
        system = tomllib.load(file)
    try:
        measured = json.loads(pathlib.Path(options.load).read_text()) if options.load else measure(system["build"])
    except BuildFailed as error:
        print(f"build-packages: the build failed:\n{error}")
        return 1
    if options.save:
        pathlib.Path(options.save).write_text(json.dumps(measured))
    database = PackageDatabase()
    owners = database.owners(measured["files"])
    if options.list:
        for path in measured["files"]:
            print(", ".join(sorted(owners.get(path, {"-"}))), path)
    faults = measured["conduct"] + Verdict(database, owners, measured["files"], system["packages"]).faults()
    for fault in faults:
        print(f"build-packages: {fault}")
    packages = set().union(*owners.values())
    print(f"build-packages: {len(measured['files'])} files of {len(packages)} packages, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
