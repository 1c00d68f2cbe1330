"""Runs the deployment's build under strace in a copy of the checkout without tests, and lists the files used."""

import os
import pathlib
import re
import shutil
import subprocess

from package_database import link_chain

# Directories of the checkout that the deployment's build must not depend on.
LEFT_OUT = ("tests/", "benchmarks/")

# Files that the kernel provides, which belong to no package.
KERNEL_FILES = ("/dev/", "/proc/", "/sys/")

# System calls that look up, read or execute a file. A library that is only looked up counts as used,
# because the configuration of the build depends on it.
FILE_CALLS = "open,openat,openat2,execve,execveat,stat,lstat,newfstatat,statx,access,faccessat,faccessat2"

FILE_CALL = re.compile(r'^\w+\((?:(?:AT_FDCWD|\d+)<([^>]*)>, )?"((?:[^"\\]|\\.)*)"')
CONNECTION = re.compile(r"^connect\(.*sa_family=AF_INET")
WRITE_FLAGS = re.compile(r"O_WRONLY|O_RDWR|O_CREAT")


class BuildFailed(Exception):
    """The build failed; the message contains the end of its output."""


class BuildUse:
    """The use of files and the network by one build: files found, read or executed, files written, and connections."""

    def __init__(self):
        self.found = set()
        self.written = set()
        self.connections = set()

    def add_trace(self, lines):
        for line in lines:
            # A failed connection counts, a failed look-up of a path does not.
            if CONNECTION.match(line):
                self.connections.add(line.strip())
                continue
            if " = -1 " in line:
                continue
            call = FILE_CALL.match(line)
            if call is None:
                continue
            path = os.path.join(call[1] or "", call[2])
            # access and execve have no directory argument; files that they find by a relative path are
            # in the copy.
            if not path.startswith("/"):
                continue
            if line.startswith("open") and WRITE_FLAGS.search(line):
                self.written.add(os.path.normpath(path))
            else:
                self.found.add(path)

    def system_files(self, copy):
        """Returns the files outside the copy of the checkout, including the symbolic links that lead to them."""
        files = set()
        for path in self.found:
            if path.startswith(f"{copy}/") or not os.path.isfile(path):
                continue
            files.update(link_chain(path))
        return {path for path in files if not path.startswith(KERNEL_FILES)}

    def stray_writes(self, copy):
        """Returns the files written outside the copy's target/ directory."""
        allowed = (f"{copy}/checkout/target/", f"{copy}/temporary/", "/dev/")
        return {path for path in self.written if not path.startswith(allowed)}


def copy_checkout(root, checkout):
    listed = subprocess.run(["git", "-C", root, "ls-files", "-z", "--cached", "--others", "--exclude-standard"],
                            check=True, capture_output=True, text=True).stdout
    for name in filter(None, listed.split("\0")):
        source = root / name
        if name.startswith(LEFT_OUT) or not source.is_file():
            continue
        (checkout / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, checkout / name)


def trace_build(root, command, copy):
    """Runs the build command on a copy of root and returns its BuildUse."""
    if shutil.which("strace") is None:
        raise BuildFailed("strace is not installed; meta/install-packages installs it")
    copy = pathlib.Path(copy)
    checkout = copy / "checkout"
    for directory in ("checkout", "trace", "temporary", "home"):
        (copy / directory).mkdir()
    copy_checkout(root, checkout)
    # The environment is not inherited, so that the build cannot use a tool, a compiler cache or a library
    # that only the caller's environment provides.
    environment = {"PATH": "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin", "LANG": "C.UTF-8",
                   "HOME": str(copy / "home"), "TMPDIR": str(copy / "temporary")}
    build = subprocess.run(
        ["strace", "-ff", "-qq", "-y", "--seccomp-bpf", "-e", f"trace={FILE_CALLS},connect",
         "-o", str(copy / "trace" / "process"), "--", "sh", "-c", command],
        cwd=checkout, env=environment, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
        text=True, errors="replace")
    if build.returncode != 0:
        raise BuildFailed(build.stdout[-2000:])
    use = BuildUse()
    for trace in (copy / "trace").iterdir():
        with trace.open(errors="replace") as lines:
            use.add_trace(lines)
    return use
