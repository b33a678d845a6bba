"""Tests of the list of names that leave the processes."""

import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import outer_names


def names(source, kind):
    return {name for found, name in outer_names.names_of_source(source) if found == kind}


class Names(unittest.TestCase):
    def test_strings_of_one_word_are_listed_and_texts_for_people_are_not(self):
        self.assertEqual(names('let key = "retry-after"; // "a-comment"', "text"), {"retry-after"})
        self.assertEqual(names('fn f() { panic!("gone"); x.expect("present"); }', "text"), set())
        self.assertEqual(names('#[snafu(display("refused"))] A, #[path = "a/b.rs"] mod b;', "text"), set())
        self.assertEqual(names('let text = "two words";', "text"), set())
        self.assertEqual(names('let raw = r#"wire-key"#;', "text"), {"wire-key"})

    def test_serialized_members_are_listed_under_their_outer_names(self):
        plain = "#[derive(Debug, Serialize)]\npub struct S {\n    /// Doc.\n    pub a: Map<u8, (u8, u8)>,\n    b: u8,\n}"
        self.assertEqual(names(plain, "serialized"), {"a", "b"})
        cased = '#[derive(Deserialize)]\n#[serde(rename_all = "kebab-case")]\nenum E { FirstOne, Second { held: u8 } }'
        self.assertEqual(names(cased, "serialized"), {"first-one", "second"})
        renamed = '#[derive(Serialize)]\nstruct S { #[serde(rename = "old")]\n new: u8 }'
        self.assertEqual(names(renamed, "serialized"), set())
        self.assertEqual(names(renamed, "text"), {"old"})
        self.assertEqual(names("#[derive(Debug)]\nstruct S { a: u8 }", "serialized"), set())

    def test_labels_of_metrics_are_listed(self):
        self.assertEqual(names("#[derive(Clone, EncodeLabelSet)]\nstruct L { route: String }", "label"), {"route"})

    def test_log_events_and_fields_are_listed(self):
        source = 'tracing::info!(seconds = f(a, b), %error, ?self.state, count, "lease lost");'
        self.assertEqual(names(source, "event"), {"lease lost"})
        self.assertEqual(names(source, "field"), {"seconds", "error", "state", "count"})


class Kept(unittest.TestCase):
    def checkout(self, source):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        crate = Path(folder.name) / "crates/example"
        (crate / "src").mkdir(parents=True)
        (crate / "Cargo.toml").write_text('[package]\nname = "example"\n')
        (crate / "src/lib.rs").write_text(source)
        return Path(folder.name)

    def test_a_field_that_is_renamed_with_its_outer_name_is_kept(self):
        before = outer_names.outer_names(self.checkout("#[derive(Serialize)]\nstruct S { old: u8 }"))
        kept = outer_names.outer_names(self.checkout('#[derive(Serialize)]\nstruct S { #[serde(rename = "old")]\n new: u8 }'))
        lost = outer_names.outer_names(self.checkout("#[derive(Serialize)]\nstruct S { new: u8 }"))
        self.assertEqual(outer_names.missing(before, kept), [])
        self.assertEqual(outer_names.missing(before, lost), [("example", "serialized", "old")])

    def test_the_exit_code_says_whether_a_listed_name_is_missing(self):
        root = self.checkout('const KEY: &str = "old-key";')
        listed = root / "list"
        listed.write_text("example text old-key\n")
        self.assertEqual(outer_names.main([str(root), "--kept", str(listed)]), 0)
        listed.write_text("example text other-key\n")
        self.assertEqual(outer_names.main([str(root), "--kept", str(listed)]), 1)


if __name__ == "__main__":
    unittest.main()
