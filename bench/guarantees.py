#!/usr/bin/env python3
"""Removes each guarantee that docs/ENDINGS.md names, one at a time, and checks that its test then fails.

    bench/guarantees.py [--work FOLDER] [--only PATTERN]

Works in a copy; the tree stays as it is. A test that does not fail without its guarantee, or does not pass
with it, is named, and the exit code is 1. Takes about half a minute for each. Needs Python 3.9 and what the
tests need. The guarantees are listed in guarantee_rows.py.
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
    """Runs a command to its end, its output in `stdout`. Raises subprocess.TimeoutExpired."""
    return subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=timeout_s, check=False
    )


def copy_if_changed(source, destination):
    """Leaves an equal file alone, so that it keeps its time and is not built again; a copied one is new."""
    if not os.path.exists(destination) or not filecmp.cmp(source, destination, shallow=False):
        shutil.copyfile(source, destination)
        shutil.copymode(source, destination)
    return destination


def replace_in_file(path, text, replacement, name):
    """Replaces the text, which must occur once. Ends the program where it does not."""
    with open(path, encoding="utf-8") as file:
        content = file.read()
    if content.count(text) != 1:
        sys.exit(f"{name}: its text occurs {content.count(text)} times in {path}")
    write_file(path, content.replace(text, replacement))


def write_file(path, content):
    """Writes a text file."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(content)


class Workspace:
    """A copy of the tree and a build folder of it."""

    def __init__(self, folder):
        self.tree, self.build = os.path.join(folder, "tree"), os.path.join(folder, "build")

    def prepare(self):
        """Brings the copy up to date and configures its build. Ends the program where that fails."""
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
        """The path of a test program that has been built: each lies in its folder's own build folder."""
        (path,) = glob.glob(os.path.join(self.build, "tests", "*", target))
        return path

    def test(self, target, name):
        """Builds and runs one test: FAILED, PASSED, or why it could not be run."""
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
        """The tree without a guarantee for as long as the context lasts."""
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
    """Removes each guarantee; what is wrong where its test does not fail."""
    problems = []
    for guarantee in guarantees:
        with workspace.without(guarantee):
            result = workspace.test(guarantee.target, guarantee.test)
        print(f"{guarantee.test} without {guarantee.name}: {result}", flush=True)
        if result != FAILED:
            problems.append(f"{guarantee.test} without {guarantee.name}: {result}")
    return problems


def check_unchanged(workspace, guarantees):
    """Runs each test on the unchanged tree; what is wrong where it does not pass."""
    problems = []
    for target, test in sorted({(guarantee.target, guarantee.test) for guarantee in guarantees}):
        result = workspace.test(target, test)
        if result != PASSED:
            problems.append(f"{test} as it is: {result}")
    return problems


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--work", help="folder for the copy and its build, reused by the next call")
    parser.add_argument("--only", default="", help="only guarantees whose description matches this pattern")
    return parser.parse_args()


def main():
    """Checks the chosen guarantees; the exit code."""
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
