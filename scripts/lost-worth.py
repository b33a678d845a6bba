#!/usr/bin/env python3
"""Where the worth of days is lost: by part of the score and by price, adding up to the whole loss.

    scripts/lost-worth.py FILE... [--format json]

FILE is a report of the bench (`run --report`) or a snapshot of `journal/` with the days of a score. A day's worth is the
weighted mean of its parts less its prices, so what each part lacks, times its weight, and what each price takes add up to
one less the worth; a day for which they don't is an error. Below each day stand its kinds of request with the share of
calls that failed, came late or were refused, where the file has them.
Exit codes: 0 done, 2 bad arguments or files.
"""

import argparse
import json
import pathlib
import sys

# Files round their figures to four places.
TOLERANCE = 0.002


class FileError(Exception):
    """A file that is no report or snapshot, or whose figures don't add up."""


def losses(day):
    """Rows of (cause, loss) of one day, the greatest first; they add up to one less its worth."""
    try:
        rows = [(f"part: {name} ({value:.3f}, weight {weight:g})", weight * (1 - value)) for name, weight, value in day["parts"]]
        rows += [(f"price: {name} ({amount:g})", price) for name, amount, price in day["prices"]]
        whole = 1 - day["G"]
    except (KeyError, TypeError, ValueError) as error:
        raise FileError(f"a figure is missing or malformed: {error!r}") from error
    total = sum(loss for _, loss in rows)
    if abs(total - whole) > TOLERANCE:
        raise FileError(f"the losses add up to {total:.4f}, and the day lost {whole:.4f}")
    return sorted(((cause, loss) for cause, loss in rows if loss > 0), key=lambda row: -row[1])


def kinds(day):
    """Rows of (kind, owed, failed, late, refused) for the kinds of request that the file tells of."""
    rows = []
    for kind in day.get("classes") or []:
        if isinstance(kind, dict) and kind.get("name") is not None:
            rows.append([kind["name"], *(kind.get(figure, 0) for figure in ("offered", "failed", "late", "refused"))])
    return rows


def days_of(path):
    """The days of a file, by name."""
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise FileError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise FileError(f"{path}: neither a report nor a snapshot")
    days = content["days"] if isinstance(content.get("days"), list) else [content]
    if not days:
        raise FileError(f"{path}: no days")
    return [(day.get("name") or path.stem, day) for day in days]


def table(path):
    """The days of a file with their losses and kinds."""
    rows = []
    for name, day in days_of(path):
        try:
            rows.append({"day": name, "worth": day.get("G"), "losses": losses(day), "kinds": kinds(day)})
        except FileError as error:
            raise FileError(f"{path}: {name}: {error}") from error
    return rows


def as_text(rows):
    lines = []
    for row in rows:
        lines.append(f"{row['day']}: worth {row['worth']:.4f}, lost {1 - row['worth']:.4f}")
        whole = sum(loss for _, loss in row["losses"])
        for cause, loss in row["losses"]:
            lines.append(f"  {loss:7.4f}  {loss / whole:5.0%}  {cause}")
        for kind, offered, failed, late, refused in row["kinds"]:
            lines.append(f"    {kind}: {offered} offered, {failed} failed, {late} late, {refused} refused")
    return "\n".join(lines)


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("files", nargs="+", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--format", choices=["text", "json"], default="text")
    try:
        options = parser.parse_args(arguments)
    except SystemExit as end:
        return end.code
    try:
        rows = [row for path in options.files for row in table(path)]
    except FileError as error:
        print(f"lost-worth.py: {error}", file=sys.stderr)
        return 2
    print(json.dumps(rows, indent=1) if options.format == "json" else as_text(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
