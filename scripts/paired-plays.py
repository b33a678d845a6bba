#!/usr/bin/env python3
"""Plays the same days and seeds on two checkouts and compares them, paired by day and seed.

    scripts/paired-plays.py play --bench BENCH --site SITE.toml --days trouble-1,scale-1 --seeds 1-4 \\
        --before CHECKOUT --after CHECKOUT --out DIRECTORY [--jobs 4] [--no-cpu] --why "what is tried"

    scripts/paired-plays.py compare DIRECTORY [--format json]

`play` leaves one report a play in DIRECTORY (`before` and `after`, one file for each day and seed) and passes over
those that are there already, so a run that was stopped goes on where it was. Then it compares. Both checkouts must
have been built. With --no-cpu no processor time is charged, and a difference is that of the decisions.

For each day and figure the comparison shows both means, the mean of the paired differences and the half width of
its 95 % interval (Student's t). A difference counts where its interval does not hold 0.
Exit codes: 0 done, 1 a play failed, 2 bad arguments or reports.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import re
import subprocess
import sys

# Two-sided 95 % quantiles of Student's t by degrees of freedom; beyond the list the normal one.
STUDENT_T = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145]
NORMAL = 1.96
READ_TOKENS = re.compile(r"(\d+) prompt tokens read \((\d+) of shared parts again\)")
SIDES = ("before", "after")


class ReportError(Exception):
    """A report that is missing or lacks a figure."""


def figures(report):
    """The figures of one play, by name."""
    try:
        found = {"worth": report["G"], "served": report["served"], "unserved": report["unserved"]}
        found.update({f"part: {name}": value for name, _, value in report["parts"]})
        found.update({f"price: {name}": value for name, _, value in report["prices"]})
        found.update({f"tries: {name}": count for name, count in report["ends"].items()})
        found.update({f"late, {kind['name']}": kind["late"] for kind in report["classes"]})
        found.update({f"failed, {kind['name']}": kind["failed"] for kind in report["classes"]})
        found["rules broken"] = len(report["breaks"])
    except (KeyError, TypeError, ValueError) as error:
        raise ReportError(f"a figure is missing or malformed: {error!r}") from error
    for hint in report.get("hints", []):
        if tokens := READ_TOKENS.search(hint):
            found["prompt tokens read"] = int(tokens[1])
            found["shared tokens read again"] = int(tokens[2])
    return found


def interval(differences):
    """Mean and half width of the 95 % interval; the width is None with fewer than two."""
    count = len(differences)
    mean = sum(differences) / count
    if count < 2:
        return mean, None
    variance = sum((value - mean) ** 2 for value in differences) / (count - 1)
    quantile = STUDENT_T[count - 2] if count - 2 < len(STUDENT_T) else NORMAL
    return mean, quantile * math.sqrt(variance / count)


def read_reports(folder):
    """Figures by (day, seed) of one side."""
    reports = {}
    for path in sorted(folder.glob("*.json")):
        day, _, seed = path.stem.rpartition(".")
        try:
            reports[day, int(seed)] = figures(json.loads(path.read_text()))
        except (ValueError, ReportError) as error:
            raise ReportError(f"{path}: {error}") from error
    if not reports:
        raise ReportError(f"{folder}: no reports; expected files named DAY.SEED.json")
    return reports


def compare(folder):
    """Rows of (day, figure, plays, mean before, mean after, difference, half width)."""
    before, after = (read_reports(folder / side) for side in SIDES)
    pairs = sorted(before.keys() & after.keys())
    if not pairs:
        raise ReportError(f"{folder}: no day and seed was played on both sides")
    rows = []
    for day in sorted({day for day, _ in pairs}):
        seeds = [seed for paired_day, seed in pairs if paired_day == day]
        names = dict.fromkeys(name for seed in seeds for name in (*before[day, seed], *after[day, seed]))
        for name in names:
            old = [before[day, seed].get(name, 0) for seed in seeds]
            new = [after[day, seed].get(name, 0) for seed in seeds]
            difference, width = interval([b - a for a, b in zip(old, new)])
            rows.append({"day": day, "figure": name, "plays": len(seeds), "before": sum(old) / len(old),
                         "after": sum(new) / len(new), "difference": difference, "half_width": width})
    return rows


def as_text(rows):
    lines = [f"{'day':12} {'figure':48} {'plays':>5} {'before':>13} {'after':>13} {'difference':>13} {'+-':>11}"]
    for row in rows:
        if row["before"] == row["after"] == 0:
            continue
        width = "-" if row["half_width"] is None else f"{row['half_width']:11.4g}"
        lines.append(f"{row['day']:12} {row['figure']:48} {row['plays']:5} {row['before']:13.6g} "
                     f"{row['after']:13.6g} {row['difference']:+13.4g} {width:>11}")
    return "\n".join(lines)


def play(arguments, side, day, seed):
    """One play; its report is renamed into place only when the bench ended well."""
    target = arguments.out.resolve() / side / f"{day}.{seed}.json"
    if target.exists():
        return None
    target.parent.mkdir(parents=True, exist_ok=True)
    unfinished = target.with_suffix(".unfinished")
    command = [str(arguments.bench.resolve()), "run", str(arguments.site.resolve()), day, "--seed", str(seed),
               "--report", str(unfinished), "--why", f"{arguments.why} ({side}, seed {seed})"]
    if arguments.no_cpu:
        command.append("--no-cpu")
    ended = subprocess.run(command, cwd=getattr(arguments, side), capture_output=True, text=True)
    if not unfinished.exists():
        return f"{side} {day} seed {seed}: exit code {ended.returncode}: {(ended.stderr or ended.stdout)[-400:]}"
    unfinished.rename(target)
    return None


def play_all(arguments):
    plays = [(side, day, seed) for seed in arguments.seeds for day in arguments.days for side in SIDES]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        failures = [failure for failure in pool.map(lambda one: play(arguments, *one), plays) if failure]
    for failure in failures:
        print(failure, file=sys.stderr)
    return 1 if failures else 0


def seeds(text):
    if not (match := re.fullmatch(r"(\d+)(?:-(\d+))?", text)):
        raise argparse.ArgumentTypeError(f"expected a seed or FIRST-LAST, got {text!r}")
    first, last = int(match[1]), int(match[2] or match[1])
    if last < first:
        raise argparse.ArgumentTypeError(f"the last seed is below the first in {text!r}")
    return range(first, last + 1)


def parser():
    top = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = top.add_subparsers(dest="verb", required=True)
    playing = verbs.add_parser("play", help="play what is missing, then compare")
    for name in ("--bench", "--site", "--before", "--after", "--out"):
        playing.add_argument(name, type=pathlib.Path, required=True)
    playing.add_argument("--days", type=lambda text: text.split(","), required=True)
    playing.add_argument("--seeds", type=seeds, required=True)
    playing.add_argument("--why", required=True)
    playing.add_argument("--jobs", type=int, default=4)
    playing.add_argument("--no-cpu", action="store_true")
    comparing = verbs.add_parser("compare", help="compare the reports of a directory")
    comparing.add_argument("out", type=pathlib.Path)
    for verb in (playing, comparing):
        verb.add_argument("--format", choices=["text", "json"], default="text")
    return top


def main(argv=None):
    arguments = parser().parse_args(argv)
    code = play_all(arguments) if arguments.verb == "play" else 0
    try:
        rows = compare(arguments.out)
    except ReportError as error:
        print(f"paired-plays: {error}", file=sys.stderr)
        return 2
    print(json.dumps(rows, indent=1) if arguments.format == "json" else as_text(rows))
    return code


if __name__ == "__main__":
    sys.exit(main())
