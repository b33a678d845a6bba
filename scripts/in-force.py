#!/usr/bin/env python3
"""How long configurations take from their commit to being in force at each edge, from the logs of a play.

    scripts/in-force.py LOG... [--slowest 5] [--format json]

LOG is what `run SITE DAY --log all` of the bench prints: lines of simulated seconds, machine, time of day and log event.
A configuration is committed when the first core machine logs it; the operator is answered after that. It is in force at
an edge when that edge logs it or a newer one. Edges that started after the commit are counted apart: their time is that
of their start. Printed are the number of times, their median, 0.99 quantile and longest, and the slowest ones.
Exit codes: 0 done, 2 bad arguments or logs.
"""

import argparse
import json
import math
import pathlib
import re
import sys

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) \S+\s+\w+ (\S+?): (.*)$")
GENERATION = re.compile(r"\bgeneration=(\d+)")
COMMITTED, APPLIED, SERVING = "control state committed", "configuration applied", "serving "


class LogError(Exception):
    """A log without the events that are looked for."""


def events(text):
    """(seconds, machine, message) of each line that is a log event."""
    for line in text.splitlines():
        if found := LINE.match(line):
            yield float(found[1]), found[2], found[4]


def generation(message):
    found = GENERATION.search(message)
    return int(found[1]) if found else 0


def read(text):
    """Commit times by generation, and by edge its starts and what it applied when."""
    committed, starts, applied = {}, {}, {}
    for at, machine, message in events(text):
        if message.startswith(COMMITTED) and (number := generation(message)):
            committed.setdefault(number, at)
        elif message.startswith(SERVING):
            starts.setdefault(machine, []).append(at)
        elif message.startswith(APPLIED):
            applied.setdefault(machine, []).append((at, generation(message)))
    if not committed or not applied:
        raise LogError("no configuration was committed and applied; was the play logged with --log all?")
    return committed, starts, applied


def times(text):
    """Rows of (seconds, generation, edge, commit) for edges that were running, and the same for those that were not."""
    committed, starts, applied = read(text)
    running, started_later = [], []
    for number, commit in sorted(committed.items()):
        for edge, history in sorted(applied.items()):
            in_force = next((at for at, known in history if at >= commit and known >= number), None)
            if in_force is None or any(known >= number and at < commit for at, known in history):
                continue
            started = [at for at in starts.get(edge, []) if at <= in_force]
            row = {"seconds": in_force - commit, "generation": number, "edge": edge, "committed_at": commit}
            (started_later if started and started[-1] > commit else running).append(row)
    return running, started_later


def quantile(values, share):
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summary(path, slowest):
    try:
        running, started_later = times(path.read_text())
    except (OSError, UnicodeDecodeError, LogError) as error:
        raise LogError(f"{path}: {error}") from error
    if not running:
        raise LogError(f"{path}: no edge was running at a commit")
    seconds = [row["seconds"] for row in running]
    return {"log": path.name, "times": len(seconds), "median": quantile(seconds, 0.5), "q99": quantile(seconds, 0.99),
            "longest": max(seconds), "at_edges_that_started_later": len(started_later),
            "slowest": sorted(running, key=lambda row: -row["seconds"])[:slowest]}


def as_text(rows):
    lines = []
    for row in rows:
        lines.append(f"{row['log']}: {row['times']} times, median {row['median']:.3f} s, 0.99 {row['q99']:.3f} s, "
                     f"longest {row['longest']:.3f} s; {row['at_edges_that_started_later']} at edges that started later")
        for slow in row["slowest"]:
            lines.append(f"  {slow['seconds']:8.3f} s  generation {slow['generation']} at {slow['edge']}, "
                         f"committed at {slow['committed_at']:.3f}")
    return "\n".join(lines)


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    parser.add_argument("--slowest", type=int, default=5)
    parser.add_argument("--format", choices=["text", "json"], default="text")
    try:
        options = parser.parse_args(arguments)
    except SystemExit as end:
        return end.code
    try:
        rows = [summary(path, options.slowest) for path in options.logs]
    except LogError as error:
        print(f"in-force.py: {error}", file=sys.stderr)
        return 2
    print(json.dumps(rows, indent=1) if options.format == "json" else as_text(rows))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
