"""Compares the files that a build uses with the packages that the deployment lists."""

import os
import re

# Packages that the toolchain uses if they are installed but does not require.
INCIDENTAL = (
    re.compile(r"llvm-\d+-linker-tools"),  # the linker loads every plug-in in its directory
    re.compile(r"locales"),  # the C library reads the aliases of locale names
)


def is_alternative(path):
    """Returns whether update-alternatives manages this link, such as /usr/bin/c++."""
    return os.path.islink(path) and os.readlink(path).startswith("/etc/alternatives/")


class Verdict:
    """Determines the faults of a list of packages from the files that a build uses and their owners."""

    def __init__(self, database, owners, used, listed):
        self.database = database
        self.owners = owners
        self.used = used
        self.listed = listed

    def allowed_packages(self, listed):
        incidental = [name for name in self.database.dependencies if any(i.fullmatch(name) for i in INCIDENTAL)]
        return self.database.with_dependencies([*listed, *self.database.essential, *incidental])

    def unlisted(self, listed):
        """Returns the unlisted packages that own used files, each with these files."""
        allowed = self.allowed_packages(listed)
        found = {}
        for path in sorted(self.used):
            owners = self.owners.get(path, set())
            if owners and not owners & allowed:
                found.setdefault(", ".join(sorted(owners)), []).append(path)
        return found

    def unpackaged(self):
        """Returns the used files that no package owns, such as those in /usr/local. /etc is excluded because it
        contains the machine's local state."""
        return sorted(path for path in self.used
                      if path not in self.owners and not path.startswith("/etc/") and not is_alternative(path))

    def faults(self):
        """Returns one line for each fault of the list."""
        lines = [f"listed package {name} is not installed here"
                 for name in self.listed if not self.database.is_installed(name)]
        for packages, paths in self.unlisted(self.listed).items():
            lines.append(f"the build uses {packages}, which is not listed: {paths[0]} and {len(paths) - 1} more")
        lines += [f"the build uses {path}, which belongs to no package" for path in self.unpackaged()]
        for name in self.listed:
            # A redundant line is a fault, because it could hide that another line is missing.
            if not self.unlisted([other for other in self.listed if other != name]):
                lines.append(f"listed package {name} is unused, or comes with another listed package")
        return lines
