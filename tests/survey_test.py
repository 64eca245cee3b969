"""bench/survey.py on reports made here: what falls short is named, what can't be read is no pass."""
import copy
import json
import os
import subprocess
import sys
import tempfile
import unittest

SURVEY = os.path.join(os.path.dirname(__file__), "..", "bench", "survey.py")
sys.path.insert(0, os.path.dirname(SURVEY))
import survey  # noqa: E402

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


def short_of(**row):
    report = copy.deepcopy(GOOD)
    report["row"].update(row)
    return survey.read_report(report)[1]


class Reading(unittest.TestCase):
    def test_a_day_that_holds(self):
        cells, short = survey.read_report(GOOD)
        self.assertEqual(short, [])
        self.assertEqual(
            cells,
            ("day", "3", "9", "0.800, 0.450", "hopeless 0.010, 0.000", "b 0.310, 0.300", "1.5", "nothing"),
        )

    def test_each_way_to_fall_short(self):
        self.assertEqual(short_of(fault="crashed"), ["fault: crashed"])
        self.assertEqual(short_of(rules={"lost": 0, "dup": 2}), ["rule dup"])
        self.assertEqual(short_of(served=0.44), ["served"])
        self.assertEqual(short_of(by_class=[["poor", 0.39, 0.4]]), ["class poor"])
        self.assertEqual(short_of(by_tenant=[["b", 0.29, 0.3]]), ["tenant b"])
        late = copy.deepcopy(GOOD)
        late["real"]["seen"]["restart_s"] = [31]
        self.assertEqual(survey.read_report(late)[1], ["ready"])

    def test_what_cannot_be_read_is_no_pass(self):
        for report in ([], {}, {"row": []}, {"row": {}}):
            self.assertRaises(survey.Unreadable, survey.read_report, report)
        for row in (
            {"served": None},
            {"served": float("nan")},
            {"by_class": []},
            {"by_class": [["poor", 1]]},
            {"rules": {"lost": "0"}},
        ):
            self.assertRaises(survey.Unreadable, short_of, **row)

    def test_the_program_ends_with_what_it_found(self):
        with tempfile.TemporaryDirectory() as folder:
            good, bad = os.path.join(folder, "good.json"), os.path.join(folder, "bad.json")
            with open(good, "w", encoding="utf-8") as file:
                json.dump(GOOD, file)
            with open(bad, "w", encoding="utf-8") as file:
                file.write('{"row":')

            def ends(*paths):
                return subprocess.run(
                    [sys.executable, SURVEY, "--read", *paths], stdout=subprocess.DEVNULL, check=False
                ).returncode

            self.assertEqual(ends(good), 0)
            self.assertEqual(ends(good, bad), 1)
            self.assertEqual(ends(os.path.join(folder, "missing.json")), 1)


if __name__ == "__main__":
    unittest.main()
