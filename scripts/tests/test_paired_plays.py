"""Tests of paired-plays.py on recorded reports; they need no bench."""

import contextlib
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parent.parent / "paired-plays.py"
spec = importlib.util.spec_from_file_location("paired_plays", SCRIPT)
paired_plays = importlib.util.module_from_spec(spec)
spec.loader.exec_module(paired_plays)


def report(worth, failed=0, read=1000):
    return {"G": worth, "served": worth, "unserved": 1 - worth, "parts": [["whole day", 0.4, worth]],
            "prices": [["processor seconds", 15.1, 0.0004]], "ends": {"200": 10, "503": failed},
            "classes": [{"name": "booking", "late": 1, "failed": failed}], "breaks": {},
            "hints": [f"{read} prompt tokens read (7 of shared parts again), 5 found kept"]}


class PairedPlays(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def leave(self, side, day, seed, content):
        (self.folder / side).mkdir(exist_ok=True)
        text = content if isinstance(content, str) else json.dumps(content)
        (self.folder / side / f"{day}.{seed}.json").write_text(text)

    def row(self, figure):
        return next(row for row in paired_plays.compare(self.folder) if row["figure"] == figure)

    def run_main(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = paired_plays.main(list(arguments))
        return code, out.getvalue(), err.getvalue()

    def test_differences_are_paired_by_seed(self):
        for seed, worth in ((1, 0.5), (2, 0.7), (3, 0.9)):
            self.leave("before", "trouble-1", seed, report(worth))
            self.leave("after", "trouble-1", seed, report(worth + 0.01))
        row = self.row("worth")
        self.assertAlmostEqual(row["difference"], 0.01)
        self.assertAlmostEqual(row["half_width"], 0.0, places=9)
        self.assertEqual(row["plays"], 3)

    def test_the_interval_is_that_of_students_t(self):
        mean, width = paired_plays.interval([1.0, 2.0, 3.0, 4.0])
        self.assertAlmostEqual(mean, 2.5)
        self.assertAlmostEqual(width, 3.182 * (5 / 3 / 4) ** 0.5)

    def test_one_play_has_no_interval(self):
        self.assertEqual(paired_plays.interval([0.5]), (0.5, None))

    def test_unpaired_plays_do_not_count(self):
        self.leave("before", "scale-1", 1, report(0.5))
        self.leave("before", "scale-1", 2, report(0.9))
        self.leave("after", "scale-1", 1, report(0.6))
        self.assertAlmostEqual(self.row("worth")["before"], 0.5)

    def test_tokens_read_come_from_the_hints(self):
        self.leave("before", "quiet-1", 1, report(0.5, read=3000))
        self.leave("after", "quiet-1", 1, report(0.5, read=2000))
        self.assertEqual(self.row("prompt tokens read")["difference"], -1000)

    def test_an_end_that_one_side_never_saw_counts_as_none(self):
        without = report(0.5)
        del without["ends"]["503"]
        self.leave("before", "quiet-1", 1, without)
        self.leave("after", "quiet-1", 1, report(0.5, failed=4))
        self.assertEqual(self.row("tries: 503")["difference"], 4)

    def test_a_malformed_report_is_named(self):
        self.leave("before", "quiet-1", 1, "{")
        self.leave("after", "quiet-1", 1, report(0.5))
        code, _, err = self.run_main("compare", str(self.folder))
        self.assertEqual(code, 2)
        self.assertIn("quiet-1.1.json", err)

    def test_a_missing_figure_is_named(self):
        short = report(0.5)
        del short["parts"]
        self.leave("before", "quiet-1", 1, short)
        code, _, err = self.run_main("compare", str(self.folder))
        self.assertEqual(code, 2)
        self.assertIn("parts", err)

    def test_an_empty_directory_is_an_error(self):
        code, _, err = self.run_main("compare", str(self.folder))
        self.assertEqual(code, 2)
        self.assertIn("no reports", err)

    def test_json_holds_the_rows(self):
        for side in ("before", "after"):
            self.leave(side, "quiet-1", 1, report(0.5))
        code, out, _ = self.run_main("compare", str(self.folder), "--format", "json")
        self.assertEqual(code, 0)
        self.assertEqual(json.loads(out)[0]["day"], "quiet-1")

    def test_seeds_are_a_number_or_a_range(self):
        self.assertEqual(list(paired_plays.seeds("3-5")), [3, 4, 5])
        self.assertEqual(list(paired_plays.seeds("7")), [7])
        with self.assertRaises(Exception):
            paired_plays.seeds("5-3")

    def test_plays_that_are_there_are_passed_over(self):
        for side in ("before", "after"):
            self.leave(side, "quiet-1", 1, report(0.5))
        no_bench = str(self.folder / "no-such-bench")
        code, out, _ = self.run_main(
            "play", "--bench", no_bench, "--site", "site.toml", "--before", ".", "--after", ".", "--out",
            str(self.folder), "--days", "quiet-1", "--seeds", "1", "--why", "test")
        self.assertEqual(code, 0)
        self.assertIn("worth", out)


if __name__ == "__main__":
    unittest.main()
