#!/usr/bin/env python3
"""Tests of in-force.py on made-up logs; they need no bench."""

import contextlib
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parent.parent / "in-force.py"
spec = importlib.util.spec_from_file_location("in_force", SCRIPT)
in_force = importlib.util.module_from_spec(spec)
spec.loader.exec_module(in_force)


def line(at, machine, message):
    return f" {at:.4f} {machine} 2026-01-01T00:00:00.000000Z  INFO woadreach: {message}\n"


def committed(at, number):
    return line(at, "core-1", f"control state committed generation={number} storage_epoch=1 epoch=1 number=9")


def applied(at, edge, number):
    return line(at, edge, f"configuration applied generation={number}")


def serving(at, edge):
    return line(at, edge, "serving node=x zone=a")


CALM = serving(-9, "e1") + serving(-9, "e2") + committed(-8, 4) + applied(-7.9, "e1", 4) + applied(-7.8, "e2", 4)


class InForce(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_main(self, text, *arguments):
        path = self.folder / "log.txt"
        path.write_text(text)
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = in_force.main([str(path), *arguments])
        return code, out.getvalue(), err.getvalue()

    def seconds(self, text):
        running, _ = in_force.times(text)
        return {(row["generation"], row["edge"]): round(row["seconds"], 4) for row in running}

    def test_each_edge_has_its_time_from_the_first_commit(self):
        text = CALM + committed(1.0, 6) + committed(1.2, 6) + applied(1.3, "e1", 6) + applied(2.5, "e2", 6)
        self.assertEqual(self.seconds(text), {(4, "e1"): 0.1, (4, "e2"): 0.2, (6, "e1"): 0.3, (6, "e2"): 1.5})

    def test_a_newer_configuration_counts_for_an_older_one(self):
        text = CALM + committed(1.0, 6) + committed(2.0, 7) + applied(2.1, "e1", 7)
        self.assertEqual(self.seconds(text)[(6, "e1")], 1.1)
        self.assertEqual(self.seconds(text)[(7, "e1")], 0.1)

    def test_an_edge_that_started_later_is_counted_apart(self):
        text = CALM + committed(1.0, 6) + applied(1.1, "e1", 6) + serving(5.0, "e2") + applied(5.2, "e2", 6)
        self.assertNotIn((6, "e2"), self.seconds(text))
        code, out, _ = self.run_main(text, "--format", "json")
        row = json.loads(out)[0]
        self.assertEqual((code, row["at_edges_that_started_later"], row["times"]), (0, 1, 3))

    def test_the_slowest_are_named(self):
        code, out, _ = self.run_main(CALM, "--slowest", "1")
        self.assertEqual(code, 0)
        self.assertIn("2 times, median 0.100 s, 0.99 0.200 s, longest 0.200 s", out)
        self.assertIn("generation 4 at e2, committed at -8.000", out)
        self.assertEqual(len(out.splitlines()), 2)

    def test_a_log_without_the_events_is_an_error(self):
        for text in ["", "no log at all\n", committed(1.0, 6)]:
            code, out, err = self.run_main(text)
            self.assertEqual((code, out), (2, ""))
            self.assertIn("log.txt: no configuration was committed and applied", err)


if __name__ == "__main__":
    unittest.main()
