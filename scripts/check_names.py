#!/usr/bin/env python3
"""Finds withdrawn names and phrases in Rust files; docs/glossary.md has the terms that took their place.

An identifier is withdrawn if it stands in `IDENTIFIERS`, wherever it is used outside comments and strings; a comment is
at fault if it has a phrase of `PHRASES`. Each place is printed, and the exit code is 1 if there is any.

    scripts/check_names.py [FOLDER]     the folder that is searched; default: crates
"""

import re
import sys
from pathlib import Path

IDENTIFIERS = {
    "Acts", "ColdRule", "ColdSight", "DutyTold", "Duties", "Duty", "Figures", "Hand", "Hands", "InHand", "Letter",
    "PLANTED", "PLANTS", "Plant", "Planted", "Ration", "Riders", "SubId", "SubRequest", "Told", "Warden", "Word", "Words",
    "ZoneSight", "Zoning", "mishap", "plant", "planted", "plants", "spoilt",
}
PHRASES = [r"\bDanger:", r"\bHarm:", r"\bCovers also\b", r"\bOwns nothing\b", r"\bsigns? of life\b", r"\bmishaps?\b",
           r"\bby the word of\b", r"\bwardens?\b", r"\bborne out\b"]
PHRASE = re.compile("|".join(PHRASES))
WORD = re.compile(r"\b[A-Za-z_][A-Za-z0-9_]*\b")
STRING = re.compile(r'"(?:[^"\\]|\\.)*"')


def faults_of_line(line: str) -> list[str]:
    """The withdrawn names and phrases of one line."""
    code, _, comment = STRING.sub('""', line).partition("//")
    names = [word for word in WORD.findall(code) if word in IDENTIFIERS]
    return names + PHRASE.findall(comment)


def faults_of_file(file: Path) -> list[str]:
    """Each fault of a file with its place."""
    lines = file.read_text(encoding="utf-8").splitlines()
    return [f"{file}:{number}: {fault}" for number, line in enumerate(lines, 1) for fault in faults_of_line(line)]


def main(folder: Path) -> int:
    faults = [fault for file in sorted(folder.rglob("*.rs")) for fault in faults_of_file(file)]
    for fault in faults:
        print(fault)
    print(f"{len(faults)} withdrawn names")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1] if len(sys.argv) > 1 else "crates")))
