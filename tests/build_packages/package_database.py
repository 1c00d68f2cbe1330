"""Debian's package database: the owners of files and the dependencies of packages."""

import os
import re
import subprocess

# Linux does not resolve a path with more symbolic links than this.
MAXIMUM_LINKS = 40


def first_name(alternative):
    """Returns the name of the package in a dependency such as "libc6:any (>= 2.36)"."""
    return re.split(r"[\s(:\[]", alternative.strip(), maxsplit=1)[0]


class PackageDatabase:
    """The packages installed on this machine."""

    QUERY = "${Package}\t${db:Status-Status}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"

    def __init__(self):
        self.dependencies = {}
        self.providers = {}
        self.essential = set()
        rows = subprocess.run(["dpkg-query", "-W", "-f", self.QUERY], check=True, capture_output=True, text=True)
        for row in rows.stdout.splitlines():
            name, status, essential, dependencies, provided = row.split("\t")
            if status != "installed":
                continue
            groups = [group.split("|") for group in dependencies.split(",") if group.strip()]
            self.dependencies[name] = [[first_name(part) for part in group] for group in groups]
            for virtual in provided.split(","):
                if virtual.strip():
                    self.providers.setdefault(first_name(virtual), set()).add(name)
            if essential == "yes":
                self.essential.add(name)

    def is_installed(self, name):
        return name in self.dependencies

    def with_dependencies(self, names):
        """Returns the packages and their transitive dependencies. Of alternatives, the first installed one is used."""
        found = set()
        pending = list(names)
        while pending:
            name = pending.pop()
            if name in found:
                continue
            found.add(name)
            for group in self.dependencies.get(name, []):
                pending += self.chosen_alternative(group)
        return found

    def chosen_alternative(self, group):
        for name in group:
            if name in self.dependencies:
                return [name]
            if name in self.providers:
                return list(self.providers[name])
        return []

    @staticmethod
    def owners(paths):
        """Maps each path to the packages that own it; paths that no package owns are omitted."""
        names = {}
        for path in paths:
            names[path] = path
            # Packages may register a file in /usr/lib under /lib, which is a symbolic link to /usr/lib.
            if path.startswith("/usr/"):
                names[path.removeprefix("/usr")] = path
        answer = subprocess.run(["dpkg-query", "-S", *names], capture_output=True, text=True)
        owners = {}
        for line in answer.stdout.splitlines():
            packages, separator, name = line.partition(": ")
            if not separator or packages.startswith("diversion by") or name not in names:
                continue
            bare = {first_name(package) for package in packages.split(", ")}
            owners.setdefault(names[name], set()).update(bare)
        return owners


def link_chain(path):
    """Returns the file that a path resolves to, and each symbolic link on the way. A link may belong to a
    different package than its destination."""
    chain = []
    while len(chain) < MAXIMUM_LINKS:
        directory, name = os.path.split(path)
        path = os.path.join(os.path.realpath(directory), name)
        chain.append(path)
        if not os.path.islink(path):
            break
        path = os.path.join(os.path.dirname(path), os.readlink(path))
    return chain
