#!/usr/bin/env python3
"""Removes each guarantee of docs/ENDINGS.md from a copy of the sources and checks that its test then fails.

    bench/guarantees.py [--work FOLDER] [--only PATTERN]

One guarantee is removed at a time; the original tree is not changed. The output names each test that does not
fail without its guarantee or does not pass with it; the exit code is then 1. Each guarantee takes about half
a minute. Requires Python 3.9 and the dependencies of the tests. guarantee_rows.py lists the guarantees.
"""

import argparse
import contextlib
import filecmp
import glob
import os
import re
import shutil
import subprocess
import sys
import tempfile

from guarantee_rows import GUARANTEES

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COPIED = ("src", "include", "tests", "docs", "CMakeLists.txt")
CMAKE_OPTIONS = (
    "-DOCHREGRADE_TESTS=ON",
    "-DOCHREGRADE_LAB=OFF",
    "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
    "-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O1",
)
TEST_TIMEOUT_S = 60
SHOWN_BUILD_OUTPUT = 2000  # characters
FAILED, PASSED = "failed", "passed"


def run(command, timeout_s=None):
    """Runs a command until it exits, with its output in `stdout`. Raises subprocess.TimeoutExpired."""
    return subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=timeout_s, check=False
    )


def copy_if_changed(source, destination):
    """Copies a file unless the copy is equal: an unchanged modification time avoids a rebuild."""
    if not os.path.exists(destination) or not filecmp.cmp(source, destination, shallow=False):
        shutil.copyfile(source, destination)
        shutil.copymode(source, destination)
    return destination


def replace_in_file(path, text, replacement, name):
    """Replaces the text, which must occur exactly once. Exits the program otherwise."""
    with open(path, encoding="utf-8") as file:
        content = file.read()
    if content.count(text) != 1:
        sys.exit(f"{name}: the text to replace occurs {content.count(text)} times in {path}")
    write_file(path, content.replace(text, replacement))


def write_file(path, content):
    """Writes a text file."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(content)


class Workspace:
    """A copy of the tree and its build folder."""

    def __init__(self, folder):
        self.tree, self.build = os.path.join(folder, "tree"), os.path.join(folder, "build")

    def prepare(self):
        """Updates the copy and configures its build. Exits the program if the configuration fails."""
        os.makedirs(self.tree, exist_ok=True)
        for part in COPIED:
            source, destination = os.path.join(ROOT, part), os.path.join(self.tree, part)
            if os.path.isdir(source):
                shutil.copytree(source, destination, dirs_exist_ok=True, copy_function=copy_if_changed)
            else:
                copy_if_changed(source, destination)
        configured = run(["cmake", "-S", self.tree, "-B", self.build, *CMAKE_OPTIONS])
        if configured.returncode:
            sys.exit(configured.stdout)

    def program(self, target):
        """The path of a built test program, which is in the build folder of its test directory."""
        (path,) = glob.glob(os.path.join(self.build, "tests", "*", target))
        return path

    def test(self, target, name):
        """Builds and runs one test: FAILED, PASSED, or the reason why the test could not run."""
        jobs = str(os.cpu_count() or 2)
        built = run(["cmake", "--build", self.build, "-j", jobs, "--target", target])
        if built.returncode:
            return "does not build: " + built.stdout[-SHOWN_BUILD_OUTPUT:]
        try:
            tested = run([self.program(target), "--gtest_filter=" + name], TEST_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return FAILED
        if "[==========] 1 test " not in tested.stdout and tested.returncode == 0:
            return "no such test"
        return FAILED if tested.returncode else PASSED

    @contextlib.contextmanager
    def without(self, guarantee):
        """Removes a guarantee from the tree while the context is open."""
        originals = {}
        try:
            for edit in guarantee.edits:
                path = os.path.join(self.tree, edit.file)
                if path not in originals:
                    with open(path, encoding="utf-8") as file:
                        originals[path] = file.read()
                replace_in_file(path, edit.text, edit.replacement, guarantee.name)
            yield
        finally:
            for path, content in originals.items():
                write_file(path, content)


def check_removals(workspace, guarantees):
    """Removes each guarantee in turn; returns a line for each test that does not fail."""
    problems = []
    for guarantee in guarantees:
        with workspace.without(guarantee):
            result = workspace.test(guarantee.target, guarantee.test)
        print(f"{guarantee.test} without {guarantee.name}: {result}", flush=True)
        if result != FAILED:
            problems.append(f"{guarantee.test} without {guarantee.name}: {result}")
    return problems


def check_unchanged(workspace, guarantees):
    """Runs each test on the unchanged tree; returns a line for each test that does not pass."""
    problems = []
    for target, test in sorted({(guarantee.target, guarantee.test) for guarantee in guarantees}):
        result = workspace.test(target, test)
        if result != PASSED:
            problems.append(f"{test} on the unchanged tree: {result}")
    return problems


def parse_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--work", help="folder for the copy and its build, reused by the next call")
    parser.add_argument("--only", default="", help="only guarantees whose description matches this pattern")
    return parser.parse_args()


def main():
    """Checks the chosen guarantees; returns the exit code."""
    args = parse_arguments()
    folder = args.work or tempfile.mkdtemp(prefix="guarantees-")
    workspace = Workspace(folder)
    workspace.prepare()
    chosen = [guarantee for guarantee in GUARANTEES if re.search(args.only, guarantee.name)]
    problems = check_removals(workspace, chosen) + check_unchanged(workspace, chosen)
    if not args.work:
        shutil.rmtree(folder)
    print("\n".join(problems) or "each test fails without its guarantee and passes with it")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
