#!/usr/bin/env python3
"""Tests of lost-worth.py on made-up reports; they need no bench."""

import contextlib
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parent.parent / "lost-worth.py"
spec = importlib.util.spec_from_file_location("lost_worth", SCRIPT)
lost_worth = importlib.util.module_from_spec(spec)
spec.loader.exec_module(lost_worth)


def day(**changes):
    """A day that lost 0.4 x 0.1 + 0.6 x 0.5 by its parts and 0.03 by a price."""
    whole = {"name": "trouble-1", "G": 1 - 0.04 - 0.3 - 0.03,
             "parts": [["whole day", 0.4, 0.9], ["worst class", 0.6, 0.5]],
             "prices": [["machine-seconds", 12.0, 0.03], ["probes", 0.0, 0.0]]}
    return whole | changes


class LostWorth(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def file(self, content):
        path = self.folder / "report.json"
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def run_main(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = lost_worth.main(list(arguments))
        return code, out.getvalue(), err.getvalue()

    def test_the_losses_add_up_and_the_greatest_is_first(self):
        rows = lost_worth.losses(day())
        self.assertEqual([cause.split(" (")[0] for cause, _ in rows],
                         ["part: worst class", "part: whole day", "price: machine-seconds"])
        self.assertAlmostEqual(sum(loss for _, loss in rows), 0.37)

    def test_losses_that_do_not_add_up_are_an_error(self):
        code, out, err = self.run_main(self.file(day(G=0.7)))
        self.assertEqual((code, out), (2, ""))
        self.assertIn("trouble-1: the losses add up to 0.3700, and the day lost 0.3000", err)

    def test_a_snapshot_has_several_days(self):
        code, out, _ = self.run_main(self.file({"days": [day(), day(name="scale-1")]}), "--format", "json")
        self.assertEqual((code, [row["day"] for row in json.loads(out)]), (0, ["trouble-1", "scale-1"]))

    def test_kinds_of_request_are_told_where_the_file_has_them(self):
        classes = [{"name": "booking", "offered": 10, "failed": 2, "late": 1, "refused": 3}]
        code, out, _ = self.run_main(self.file(day(classes=classes)))
        self.assertEqual(code, 0)
        self.assertIn("booking: 10 offered, 2 failed, 1 late, 3 refused", out)

    def test_files_that_are_no_report_are_errors(self):
        for content, reason in [("{", "Expecting"), ("[]", "neither"), ({"days": []}, "no days"),
                                ({"name": "x"}, "missing or malformed"), (day(parts=[["whole day", "much", 1]]), "malformed")]:
            code, out, err = self.run_main(self.file(content))
            self.assertEqual((code, out), (2, ""), content)
            self.assertIn(reason, err)
        self.assertEqual(self.run_main(str(self.folder / "absent.json"))[0], 2)

    def test_bad_arguments_have_exit_code_2(self):
        self.assertEqual(self.run_main()[0], 2)
        self.assertEqual(self.run_main("--format", "prose", self.file(day()))[0], 2)


if __name__ == "__main__":
    unittest.main()
