"""bench/survey.py on reports made here: what falls short is named, what can't be read does not pass."""

import copy
import json
import os
import subprocess
import sys
import tempfile
import unittest

SURVEY = os.path.join(os.path.dirname(__file__), "..", "bench", "survey.py")
sys.path.insert(0, os.path.dirname(SURVEY))
# The folder of the script under test must be in the path first.
import survey  # pylint: disable=wrong-import-position

GOOD = {
    "row": {
        "name": "day",
        "seed": 3,
        "nodes": 9,
        "fault": None,
        "rules": {"lost": 0, "dup": 0},
        "served": 0.8,
        "served_least": 0.45,
        "by_class": [["rich", 0.9, 0.45], ["poor", 0.5, 0.4], ["hopeless", 0.01, 0.1]],
        "by_tenant": [["a", 0.7, 0.3], ["b", 0.31, 0.3]],
    },
    "real": {"seen": {"start_s": 0.1, "restart_s": [0.2, 1.5]}},
}


def shortfalls_with(**row):
    """What the good report falls short of once these fields of its row are replaced."""
    report = copy.deepcopy(GOOD)
    report["row"].update(row)
    return survey.read_report(report).shortfalls


def exit_code_for(*paths):
    """The exit code of the program that reads these reports."""
    command = [sys.executable, SURVEY, "--read", *paths]
    return subprocess.run(command, stdout=subprocess.DEVNULL, check=False).returncode


class ReadingTest(unittest.TestCase):
    """Reports as the bench writes them, and others."""

    def test_a_good_day(self):
        """Nothing falls short; a class that the late-seeing policy hardly serves has no bound."""
        summary = survey.read_report(GOOD)
        self.assertEqual(summary.shortfalls, [])
        self.assertEqual(
            summary.cells,
            ("day", "3", "9", "0.800, 0.450", "hopeless 0.010, 0.000", "b 0.310, 0.300", "1.5", "nothing"),
        )

    def test_each_way_to_fall_short(self):
        """Each shortfall is named."""
        self.assertEqual(shortfalls_with(fault="crashed"), ["fault: crashed"])
        self.assertEqual(shortfalls_with(rules={"lost": 0, "dup": 2}), ["rule dup"])
        self.assertEqual(shortfalls_with(served=0.44), ["served"])
        self.assertEqual(shortfalls_with(by_class=[["poor", 0.39, 0.4]]), ["class poor"])
        self.assertEqual(shortfalls_with(by_tenant=[["b", 0.29, 0.3]]), ["tenant b"])
        late = copy.deepcopy(GOOD)
        late["real"]["seen"]["restart_s"] = [31]
        self.assertEqual(survey.read_report(late).shortfalls, ["ready"])

    def test_unreadable_reports(self):
        """What cannot be read does not pass."""
        for report in ([], {}, {"row": []}, {"row": {}}):
            self.assertRaises(survey.Unreadable, survey.read_report, report)
        for row in (
            {"served": None},
            {"served": float("nan")},
            {"by_class": []},
            {"by_class": [["poor", 1]]},
            {"rules": {"lost": "0"}},
        ):
            self.assertRaises(survey.Unreadable, shortfalls_with, **row)

    def test_exit_code(self):
        """The program exits with 0 only where every report was read and is good."""
        with tempfile.TemporaryDirectory() as folder:
            good, bad = os.path.join(folder, "good.json"), os.path.join(folder, "bad.json")
            with open(good, "w", encoding="utf-8") as file:
                json.dump(GOOD, file)
            with open(bad, "w", encoding="utf-8") as file:
                file.write('{"row":')
            self.assertEqual(exit_code_for(good), 0)
            self.assertEqual(exit_code_for(good, bad), 1)
            self.assertEqual(exit_code_for(os.path.join(folder, "missing.json")), 1)


if __name__ == "__main__":
    unittest.main()
