#!/usr/bin/env python3
"""Days of faults for the serving tier's bench: variants of a site that are harder than the site itself.

    scripts/worst-days.py list SITE.toml > VARIANT.toml
        The site with a list of faults that has every kind of fault which the bench knows, in the strengths and
        variants that harm the control plane most; `fleetbench hunt` draws its mixed days from that list.

    scripts/worst-days.py days SITE.toml --seed 7 --count 20 [--theme cut] > VARIANT.toml
        The site with generated days in place of its own, for `fleetbench score`. A theme draws faults of
        one kind with operators' orders at the same time; `any` draws from every kind; without a theme they take turns. The
        same arguments give the same days.

    scripts/worst-days.py day SITE.toml --seed 7 --theme cut > day.toml
        A single day, for `fleetbench run SITE day.toml`.

The traffic is that of the site's first day of faults. Put a variant into the folder of its site's `wire.json`.
"""

import argparse
import random
import re
import tomllib

CUT_VARIANTS = ["", "one_way", "all", "near", "seeds", "both", "lure", "reset", "refuse", "oldest"]
TARGETS = ["leader", "turn", "reader", "seed"]
AFTERWARDS = ["", "meet", "race", "race hard", "race drain", "meet drain", "race drain hard"]
INVALID = ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
           "same_version", "stale_match", "shared_key"]
CHANGES = ["idle", "route", "weights", "timeout"]


def words(*parts):
    """The parts that aren't empty, with blanks between them."""
    return " ".join(part for part in parts if part)


def steady_changes(draw, start, end, gap):
    """Configuration changes at a steady pace."""
    at, entries = start, []
    while at < end:
        entries.append({"at": at, "kind": "config_change", "how": draw.choice(CHANGES)})
        at += gap
    return entries


def cut(draw):
    """Partitions of the control machines, and their acknowledgements lost."""
    start = draw.uniform(3, 7)
    how = words(draw.choice(TARGETS), draw.choice(CUT_VARIANTS), draw.choice(AFTERWARDS))
    long_cut = {"at": start, "kind": "core_cut", "count": 1, "for_s": draw.uniform(16, 21), "how": how}
    faults = [long_cut, {"at": start - 1, "kind": "ack_lost", "x": draw.uniform(0.3, 0.7), "for_s": 20.0}]
    if draw.random() < 0.4:
        faults.append({"at": start + draw.uniform(22, 25), "kind": "core_cut", "count": 1, "for_s": 4.0,
                       "how": words("leader", draw.choice(CUT_VARIANTS))})
    if draw.random() < 0.4:
        faults.append({"at": draw.uniform(5, 20), "kind": "srv_cut", "share": 0.2, "for_s": 5.0,
                       "how": draw.choice(["", "one_way", "fronts", "reset"])})
    if draw.random() < 0.3:
        faults.append({"at": draw.uniform(5, 20), "kind": "node_cut", "share": 0.2, "for_s": 8.0,
                       "how": draw.choice(["", "all"])})
    if draw.random() < 0.3:
        faults.append({"at": draw.uniform(5, 20), "kind": "seed_turnover"})
    plan = steady_changes(draw, 2.0, 30.0, draw.uniform(0.9, 2.5))
    plan.append({"at": start + 2, "kind": "config_race", "count": 5, "gap_s": 1.3})
    plan.append({"at": draw.uniform(2, 12), "kind": draw.choice(["release", "scale_in"]), "share": 0.3,
                 "gap_s": 1.0})
    return plan, faults


def race(draw):
    """Orders that race each other while machines are killed after they acknowledged."""
    plan = [{"at": 1.5, "kind": "config_race", "count": 14, "gap_s": draw.uniform(0.4, 1.8)},
            {"at": 3.0, "kind": "bad_config", "count": 6, "gap_s": 1.3, "how": draw.choice(INVALID)},
            {"at": 12.0, "kind": "bad_config", "count": 6, "gap_s": 1.3, "how": draw.choice(INVALID)},
            {"at": draw.uniform(4, 10), "kind": "big_config", "count": draw.choice([100, 400, 900])},
            {"at": draw.uniform(4, 12), "kind": "retire", "for_s": 9.0, "how": draw.choice(["", "wipe"])},
            {"at": 1.0, "kind": "add_nodes", "on": "store", "count": 1}]
    plan += steady_changes(draw, 18.0, 30.0, draw.uniform(0.5, 1.5))
    faults = [{"at": 1.0, "kind": "ack_lost", "x": draw.uniform(0.5, 0.9), "for_s": 16.0},
              {"at": 20.0, "kind": "ack_lost", "x": 0.7, "for_s": 10.0}]
    at = draw.uniform(4, 6)
    while at < 28:
        faults.append(draw.choice([
            {"at": at, "kind": "after_ack_kill", "for_s": 2.0, "how": draw.choice(["", "kill", "timed"])},
            {"at": at, "kind": "after_ack_wipe", "for_s": 2.0},
            {"at": at, "kind": "node_kill", "on": "core", "count": 1, "for_s": 2.0,
             "how": words("leader", draw.choice(AFTERWARDS))},
            {"at": at, "kind": "node_freeze", "on": "core", "count": 1, "for_s": 2.5, "how": "leader race"},
            {"at": at, "kind": "herd_kill", "on": "core", "for_s": 0.6, "how": draw.choice(["", "power"])},
        ]))
        at += draw.uniform(4, 8)
    return plan, faults


def loss(draw):
    """Machines and their disks are lost, one soon after another."""
    on = draw.choice(["core", "store"])
    start = draw.uniform(4, 7)
    second = start + draw.uniform(1.0, 7.0)
    first = draw.choice([
        {"at": start, "kind": "replace_core", "on": on, "x": draw.uniform(0.3, 2.5),
         "how": draw.choice(["", "planned", "oldest", "planned oldest"])},
        {"at": start, "kind": "after_ack_wipe", "on": on, "count": 1, "for_s": draw.uniform(0.5, 2.0),
         "how": draw.choice(["", "oldest"])},
    ])
    then = draw.choice([
        {"at": second, "kind": "after_ack_wipe", "on": on, "count": 1, "for_s": 1.0,
         "how": draw.choice(["", "oldest"])},
        {"at": second, "kind": "replace_core", "on": on, "x": draw.uniform(0.3, 1.5),
         "how": draw.choice(["", "planned", "oldest"])},
        {"at": second, "kind": "node_kill", "on": on, "count": 1, "for_s": 4.0, "how": "power"},
        {"at": second, "kind": "roll_term", "on": on, "share": 1.0, "x": 1.0, "gap_s": 2.0},
    ])
    faults = [first, then,
              {"at": draw.uniform(15, 18), "kind": "replace_core", "on": on, "x": 1.0,
               "how": draw.choice(["", "planned", "oldest"])},
              {"at": draw.uniform(18, 24), "kind": "after_ack_wipe", "on": on, "count": 1, "for_s": 1.0,
               "how": draw.choice(["", "oldest"])},
              {"at": draw.uniform(25, 28), "kind": "herd_kill", "how": "taken power", "for_s": 1.0}]
    plan = [{"at": 1.0, "kind": "add_nodes", "on": "store", "count": draw.choice([1, 2])},
            {"at": draw.uniform(3, 14), "kind": "retire", "for_s": 9.0, "how": draw.choice(["", "wipe"])}]
    plan += steady_changes(draw, 2.0, 30.0, 1.7)
    return plan, faults


def catch_up(draw):
    """Machines are killed and have to catch up with many changes of the configuration."""
    plan = steady_changes(draw, 1.5, 31.0, draw.uniform(0.12, 0.3))
    for entry in plan:
        entry["how"] = "idle"
    if draw.random() < 0.5:
        plan.append({"at": 3.0, "kind": "big_config", "count": draw.choice([300, 900])})
    faults = []
    at = draw.uniform(3, 5)
    while at < 26:
        faults.append(draw.choice([
            {"at": at, "kind": "node_kill", "on": "core", "count": 1, "for_s": draw.uniform(2, 8),
             "how": draw.choice(["", "power", "leader", "leader power", "turn power"])},
            {"at": at, "kind": "herd_kill", "on": "core", "for_s": 0.6, "how": draw.choice(["", "power"])},
            {"at": at, "kind": "after_ack_wipe", "for_s": 1.0},
            {"at": at, "kind": "disk_slow", "on": "core", "count": 1, "x": 20.0, "for_s": 4.0},
            {"at": at, "kind": "disk_stall", "on": "core", "count": 1, "for_s": 3.0},
            {"at": at, "kind": "disk_full", "on": "core", "count": 1, "for_s": 4.0},
            {"at": at, "kind": "core_cut", "count": 1, "for_s": 5.0, "how": "turn"},
            {"at": at, "kind": "roll_term", "on": "core", "share": 1.0, "x": 1.0, "gap_s": 3.0},
            {"at": at, "kind": "herd_kill", "share": 0.6, "for_s": 1.0, "how": "power"},
        ]))
        at += draw.uniform(4, 8)
    return plan, faults


def connections(draw):
    """Faults of connections, replicas and edges."""
    pool = [
        {"kind": "answer_lost", "share": 0.7, "x": 0.06, "for_s": 8.0, "how": draw.choice(["", "reset"])},
        {"kind": "garble", "share": 0.7, "x": 0.06, "for_s": 8.0,
         "how": draw.choice(["", "extra", "extra late", "unframed", "early", "extra early"])},
        {"kind": "srv_grey", "share": 0.3, "x": 0.4, "for_s": 6.0,
         "how": draw.choice(["errors", "shed", "busy", "hang", "reset", "mute", "slow"])},
        {"kind": "reset_conns", "share": 0.5, "x": 0.6},
        {"kind": "give_up", "share": 0.3, "x": 120, "for_s": 8.0},
        {"kind": "replace_with_reuse", "share": 0.2, "how": draw.choice(["", "drain", "dark"])},
        {"kind": "srv_crash", "share": 0.2, "for_s": 4.0, "how": draw.choice(["", "dark", "gone"])},
        {"kind": "node_freeze", "share": 0.3, "for_s": 2.5},
        {"kind": "node_kill", "share": 0.2, "for_s": 2.5, "how": draw.choice(["", "power"])},
        {"kind": "srv_cut", "share": 0.25, "for_s": 5.0, "how": draw.choice(["", "fronts", "one_way", "reset"])},
        {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "servers"},
        {"kind": "scale_in", "share": 0.2, "how": draw.choice(["", "spot"])},
        {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    ]
    faults = []
    for entry in draw.sample(pool, 7):
        faults.append({"at": draw.uniform(2, 24), **entry})
    plan = steady_changes(draw, 3.0, 30.0, 4.0)
    plan.append({"at": draw.uniform(2, 20), "kind": "roll_term", "share": 0.5, "x": 1.0, "gap_s": 1.2,
                 "how": draw.choice(["", "busy"])})
    plan.append({"at": draw.uniform(2, 20), "kind": "hup", "share": 0.5, "gap_s": 1.0})
    return plan, faults


def mixed(draw):
    """Parts of two of the other themes."""
    plan, faults = [], []
    for theme in draw.sample([cut, race, loss, catch_up, connections], 2):
        some_plan, some_faults = theme(draw)
        plan += draw.sample(some_plan, min(len(some_plan), 14))
        faults += draw.sample(some_faults, min(len(some_faults), 4))
    return plan, faults


CORE_CUTS = ["leader race drain hard", "leader one_way race", "leader seeds meet drain", "both", "lure drain",
             "turn near race", "leader all hard", "reader reset race", "oldest refuse meet", "seed lure one_way"]
MACHINE_ENDS = ["leader race drain hard", "leader power meet", "turn race", "seed power drain"]
REPLACEMENTS = ["", "planned", "oldest", "planned oldest"]


def control_faults(tolerated):
    """Faults of the machines that the tier tolerates the loss of only some of, and faults of their network."""
    for how in CORE_CUTS:
        yield {"kind": "core_cut", "count": 1, "for_s": 19.0, "how": how}
        yield {"kind": "core_cut", "count": tolerated, "for_s": 5.0, "how": how}
    for how in ["", "one_way", "lure", "near", "oldest"]:
        yield {"kind": "core_cut", "on": "store", "count": tolerated, "for_s": 9.0, "how": how}
    for on in ["core", "store"]:
        for how in REPLACEMENTS:
            yield {"kind": "replace_core", "on": on, "x": 0.6, "how": how}
        for how in MACHINE_ENDS:
            yield {"kind": "node_kill", "on": on, "count": tolerated, "for_s": 5.0, "how": how}
        for how in ["", "kill", "timed", "taken"]:
            yield {"kind": "after_ack_kill", "on": on, "count": tolerated, "for_s": 2.0, "how": how}
        for how in ["", "oldest"]:
            yield {"kind": "after_ack_wipe", "on": on, "count": tolerated, "for_s": 0.6, "how": how}
        yield {"kind": "node_freeze", "on": on, "count": tolerated, "for_s": 3.0, "how": "leader race"}
        yield {"kind": "node_slow", "on": on, "count": tolerated, "x": 6.0, "for_s": 5.0}
        yield {"kind": "disk_slow", "on": on, "count": tolerated, "x": 30.0, "for_s": 5.0}
        yield {"kind": "disk_stall", "on": on, "count": tolerated, "for_s": 3.0}
        yield {"kind": "disk_full", "on": on, "count": tolerated, "for_s": 5.0}
        yield {"kind": "roll_term", "on": on, "share": 1.0, "x": 1.0, "gap_s": 1.5}
        yield {"kind": "reset_conns", "on": on, "share": 1.0, "x": 0.7}
        yield {"kind": "clock_step", "on": on, "share": 0.5, "x": 4000.0, "for_s": 6.0, "how": "back"}
    yield {"kind": "herd_kill", "on": "core", "for_s": 0.7}
    yield {"kind": "herd_kill", "on": "core", "for_s": 0.7, "how": "power"}
    yield {"kind": "herd_kill", "how": "taken power", "for_s": 1.0}
    yield {"kind": "herd_kill", "how": "taken all power", "for_s": 1.0}
    yield {"kind": "herd_kill", "share": 0.7, "for_s": 1.5, "how": "power"}
    yield {"kind": "ack_lost", "x": 0.7, "for_s": 15.0}
    yield {"kind": "ack_lost", "x": 0.9, "for_s": 6.0}


def orders(_tolerated):
    """Orders of operators and of the platform."""
    for how in ["route", "weights", "timeout", "idle"]:
        yield {"kind": "config_change", "how": how}
    yield {"kind": "config_race", "count": 10, "gap_s": 0.7}
    yield {"kind": "config_race", "count": 5, "gap_s": 1.5}
    for how in INVALID:
        yield {"kind": "bad_config", "count": 4, "gap_s": 0.8, "how": how}
    yield {"kind": "big_config", "count": 800}
    yield {"kind": "retire", "for_s": 9.0, "how": "wipe"}
    yield {"kind": "retire", "for_s": 9.0, "how": ""}
    yield {"kind": "add_nodes", "on": "store", "count": 1}
    yield {"kind": "add_nodes"}
    yield {"kind": "seed_turnover"}
    yield {"kind": "hup", "share": 0.6, "gap_s": 1.0}
    yield {"kind": "roll_term", "share": 0.5, "x": 1.0, "gap_s": 1.0, "how": "busy"}
    yield {"kind": "roll_term", "share": 0.3, "x": 1.0, "gap_s": 1.0, "how": "remove"}
    yield {"kind": "release", "share": 0.5, "x": 2.0, "gap_s": 0.8}
    yield {"kind": "scale_out", "share": 0.3, "gap_s": 1.0}
    yield {"kind": "scale_in", "share": 0.2}
    yield {"kind": "scale_in", "share": 0.2, "how": "spot", "x": 2.0}


def data_faults(_tolerated):
    """Faults of edges, replicas and the network between them."""
    for how in ["", "reset"]:
        yield {"kind": "answer_lost", "share": 0.7, "x": 0.06, "for_s": 6.0, "how": how}
    for how in ["", "extra", "extra late", "unframed", "early", "extra early late"]:
        yield {"kind": "garble", "share": 0.7, "x": 0.05, "for_s": 6.0, "how": how}
    for how in ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]:
        yield {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": how}
    for how in ["", "dark", "gone"]:
        yield {"kind": "srv_crash", "share": 0.2, "for_s": 4.0, "how": how}
    for how in ["", "drain", "dark"]:
        yield {"kind": "replace_with_reuse", "share": 0.2, "how": how}
    for how in ["", "fronts", "one_way", "reset"]:
        yield {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": how}
    for how in ["", "all", "servers"]:
        yield {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": how}
    yield {"kind": "srv_slow", "share": 0.2, "x": 4.0, "for_s": 5.0}
    yield {"kind": "give_up", "share": 0.3, "x": 150.0, "for_s": 8.0}
    yield {"kind": "node_kill", "share": 0.2, "for_s": 2.5, "how": "power"}
    yield {"kind": "node_freeze", "share": 0.3, "for_s": 2.5}
    yield {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0}
    yield {"kind": "reset_conns", "share": 0.4, "x": 0.6}
    yield {"kind": "clock_step", "share": 0.4, "x": 3000.0, "for_s": 6.0, "how": "ahead"}


def any_kind(draw, tolerated):
    """Ten or more faults and orders of any kind at random times, one of them twice."""
    plan = draw_entries(draw, list(orders(tolerated)), draw.randint(4, 8))
    pool = list(control_faults(tolerated))
    faults = draw_entries(draw, pool, draw.randint(4, 7))
    faults += draw_entries(draw, list(data_faults(tolerated)), draw.randint(1, 4))
    again = dict(draw.choice(faults))
    again["at"] += draw.uniform(0.5, 6.0)
    faults.append(again)
    plan += steady_changes(draw, 1.5, 31.0, draw.uniform(0.7, 3.0))
    return plan, faults


def draw_entries(draw, entries, count):
    """`count` of the entries, each at a random time."""
    return [{"at": draw.uniform(1.5, 29.0), **entry} for entry in draw.sample(entries, count)]


THEMES = {"cut": cut, "race": race, "loss": loss, "catch-up": catch_up, "connections": connections,
          "mixed": mixed}
ANY = "any"

CLOSINGS = [None, {"kind": "kill_all", "down_s": 0.8}, {"kind": "power_off_all", "down_s": 1.2, "how": "all taken"},
            {"kind": "power_off_all", "down_s": 0.9}, {"kind": "wipe_after_ack", "down_s": 0.9, "how": "all"},
            {"kind": "wipe_after_ack", "down_s": 0.9, "how": "oldest"},
            {"kind": "wipe_after_ack", "down_s": 0.7, "how": "timed"}]


def literal(value):
    """A value as TOML has it."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {literal(item)}" for key, item in value.items()) + " }"
    if isinstance(value, float):
        return repr(round(value, 3))
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def rows(name, entries):
    """A TOML array of tables in the order of their times, one a line."""
    ordered = sorted(entries, key=lambda entry: entry.get("at", 0))
    return "\n".join([f"{name} = [", *[f"  {literal(entry)}," for entry in ordered], "]"])


def day(site, theme, seed):
    """One generated day as text."""
    draw = random.Random(f"{theme}-{seed}")
    tolerated = site["tolerate"]["machines"]
    plan, faults = any_kind(draw, tolerated) if theme == ANY else THEMES[theme](draw)
    for entry in faults:
        if entry.get("count") == 1 and draw.random() < 0.5:
            entry["count"] = tolerated
    closing = draw.choice(CLOSINGS)
    like = next(day for day in site["day"] if day["slot"] == "trouble")
    lines = ["[[day]]", f'name = "{theme}-{seed}"', 'slot = "trouble"', f"seed = {draw.randrange(1, 10**8)}"]
    if closing:
        lines.append(f"closing = {literal(closing)}")
    lines += ["one = 0.9", "zero = 0.2", "goal = { floor = 0.2 }", "labels = []", "wall = 2.5", "light = false"]
    lines += [rows("plan", plan), rows("faults", faults), rows("traffic", like["traffic"])]
    return "\n".join(lines)


def with_list(text, site):
    """The site with the longest list of faults."""
    tolerated = site["tolerate"]["machines"]
    entries = [*control_faults(tolerated), *orders(tolerated), *data_faults(tolerated)]
    return re.sub(r"^troubles = \[\n.*?^\]\n", lambda _: rows("troubles", entries) + "\n", text, count=1,
                  flags=re.M | re.S)


def with_days(text, site, theme, seed, count):
    """The site with generated days in place of its own."""
    themes = [theme] if theme else [*THEMES, ANY]
    days = [day(site, themes[number % len(themes)], seed + number // len(themes)) for number in range(count)]
    return text[: text.index("[[day]]")] + "\n\n".join(days)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["list", "days", "day"])
    parser.add_argument("site", help="site file from which the variant is made")
    parser.add_argument("--theme", choices=[*THEMES, ANY])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=20)
    options = parser.parse_args()
    with open(options.site, encoding="utf-8") as file:
        text = file.read()
    site = tomllib.loads(text)
    if options.what == "list":
        print(with_list(text, site), end="")
    elif options.what == "days":
        print(with_days(text, site, options.theme, options.seed, options.count))
    else:
        print(day(site, options.theme or ANY, options.seed))


if __name__ == "__main__":
    main()
