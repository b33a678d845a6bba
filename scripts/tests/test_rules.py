#!/usr/bin/env python3
"""Every test that docs/rules.md names exists where it says."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FOLDERS = [ROOT / "crates/tier", ROOT / "crates/testing"]
NAMED = re.compile(r"`([a-z-]+/tests/[a-z_/]+\.rs)::([a-z0-9_]+)`")
SCRIPT = re.compile(r"`(scripts/tests/[a-z_]+\.py)`")


def source(path):
    """The text of a test file, or nothing if there is none."""
    for folder in FOLDERS:
        if (folder / path).is_file():
            return (folder / path).read_text()
    return ""


class Rules(unittest.TestCase):
    text = (ROOT / "docs/rules.md").read_text()

    def test_every_named_test_exists(self):
        named = NAMED.findall(self.text)
        self.assertGreater(len(named), 60)
        missing = [f"{path}::{name}" for path, name in named if f"fn {name}(" not in source(path)]
        self.assertEqual(missing, [])

    def test_every_row_names_a_test(self):
        rows = [line for line in self.text.splitlines() if line.startswith("| ") and not line.startswith("| rule")]
        rows = [row for row in rows if not row.startswith("| ---")]
        without = [row[:60] for row in rows if not NAMED.search(row) and not SCRIPT.search(row)]
        self.assertEqual(without, [])

    def test_every_named_script_exists(self):
        missing = [path for path in SCRIPT.findall(self.text) if not (ROOT / path).is_file()]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
