#!/usr/bin/env python3
"""Lists the names that leave the processes, one a line: `CRATE KIND NAME`.

Kinds: `text`, a string of one word in the sources (a key, header, path, flag, environment variable, file name or metric);
`serialized`, a field or variant that is written under its own name; `label`, a label of a metric; `event` and `field`, a log
event and its fields; `package`, `binary` and `feature` of a Cargo.toml; `test`, a test target that .ci/run names; `key`, a key
of a deploy file. Error texts, help texts and messages of assertions are not listed.

    scripts/outer_names.py [ROOT]               the list
    scripts/outer_names.py [ROOT] --kept LIST   prints each name of LIST that is missing now; exit code 1 if there is any
"""

import argparse
import re
import sys
import tomllib
from pathlib import Path

COMMENT_OR_STRING = re.compile(
    r"//[^\n]*|/\*.*?\*/"
    r'|b?r(#*)"(?P<raw>.*?)"\1'
    r'|b?"(?P<plain>(?:[^"\\]|\\.)*)"'
    r"|'(?:[^'\\\n]|\\[^\n]{1,8}?)'", re.S)
# A call or attribute whose string is for people: the text may change.
FOR_PEOPLE = re.compile(
    r"(?:#\[path\s*=\s*|display|expect|expect_err|panic!|unreachable!|debug_assert\w*!|assert\w*!|help|about|long_about|reason\s*=\s*)"
    r"\(?\s*(?:[^\"()]*,\s*)?$")
ONE_WORD = re.compile(r"[\w./:@%=+*?&{}\[\]-]*[A-Za-z][\w./:@%=+*?&{}\[\]-]*")
LOG_CALL = re.compile(r"\b(?:tracing::)?(?:error|warn|info|debug|trace|event)!\s*\(")
LOG_FIELD = re.compile(r"(?:^|,)\s*(?:([A-Za-z_]\w*)\s*=|[%?]([A-Za-z_][\w.]*)\s*(?=,|$)|([A-Za-z_]\w*)\s*(?=,|$))")
DERIVED = re.compile(
    r"#\[derive\(([^)]*)\)\]((?:\s*#\[[^\n]*\]|\s*///[^\n]*|\s*//[^\n]*)*)\s*(?:pub(?:\([^)]*\))?\s+)?(struct|enum)\s+\w+"
    r"(?:<[^>{]*>)?\s*\{", re.S)
MEMBER = re.compile(r"((?:\s*#\[[^\n]*\])*)\s*(?:pub(?:\([^)]*\))?\s+)?((?:r#)?[A-Za-z_]\w*)\s*(?=[:,({=]|$)")
RENAME_ALL = re.compile(r'rename_all\s*=\s*"([^"]+)"')


def without_comments(text):
    """The source with each comment blanked out; strings stay."""
    return COMMENT_OR_STRING.sub(lambda m: " " if m[0].startswith(("//", "/*")) else m[0], text)


def closing(text, start):
    """The offset behind the bracket that closes the one at `start`; brackets within strings don't count."""
    depth, at = 0, start
    while at < len(text):
        found = COMMENT_OR_STRING.match(text, at)
        if found:
            at = found.end()
            continue
        depth += (text[at] in "([{") - (text[at] in ")]}")
        at += 1
        if depth == 0:
            return at
    return len(text)


def split_members(body):
    """The fields or variants of a type's body, split at the commas of the outermost level."""
    members, start, at = [], 0, 0
    while at < len(body):
        if body[at] in "([{":
            at = closing(body, at)
            continue
        if body[at] == "," or (body[at] == "<" and ">" in body[at:]):
            if body[at] == "<":
                depth = 1
                while depth and at + 1 < len(body):
                    at += 1
                    depth += (body[at] == "<") - (body[at] == ">")
            else:
                members.append(body[start:at])
                start = at + 1
        at += 1
    return members + [body[start:]]


def cased(name, rule, is_variant):
    """A field or variant as serde writes it under `rename_all = rule`."""
    name = name.removeprefix("r#")
    words = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower().split("_") if is_variant else name.split("_")
    capitals = [word.capitalize() for word in words]
    forms = {
        "camelCase": words[0] + "".join(capitals[1:]), "PascalCase": "".join(capitals), "snake_case": "_".join(words),
        "kebab-case": "-".join(words), "SCREAMING_SNAKE_CASE": "_".join(words).upper(),
        "lowercase": "".join(words), "UPPERCASE": "".join(words).upper(),
    }
    return forms[rule] if rule else name


def members_of(text):
    """`(kind, outer name)` of each field and variant that is serialized or a metric's label under its own name."""
    for found in DERIVED.finditer(text):
        traits, attributes, keyword = found[1], found[2], found[3]
        if "untagged" in attributes:
            continue
        kind = "label" if "EncodeLabel" in traits else "serialized" if re.search(r"\b(De)?[Ss]erialize\b", traits) else None
        if kind is None:
            continue
        rule = RENAME_ALL.search(attributes)
        body = text[found.end():closing(text, found.end() - 1) - 1]
        for member in split_members(body):
            name = MEMBER.match(member)
            if name and not re.search(r"\brename\s*=|\bskip\b|\bflatten\b", name[1]):
                yield kind, cased(name[2], rule and rule[1], keyword == "enum")


def log_names(text):
    """`(kind, name)` of each log event and field."""
    for found in LOG_CALL.finditer(text):
        inside = text[found.end():closing(text, found.end() - 1) - 1]
        strings = [m for m in COMMENT_OR_STRING.finditer(inside) if m["plain"] is not None]
        if strings:
            yield "event", strings[-1]["plain"]
        fields = COMMENT_OR_STRING.sub('""', inside)
        depth, flat = 0, []
        for char in fields:
            depth -= char in ")]}"
            flat.append(char if depth == 0 else "_")
            depth += char in "([{"
        for name in LOG_FIELD.finditer(re.sub(r"target:\s*[^,]*,", "", "".join(flat))):
            yield "field", (name[1] or name[2] or name[3]).rsplit(".", 1)[-1]


def texts(text):
    """Each string of one word that is not meant for people."""
    for found in COMMENT_OR_STRING.finditer(text):
        said = found["raw"] if found["raw"] is not None else found["plain"]
        if said and ONE_WORD.fullmatch(said) and not FOR_PEOPLE.search(text[max(0, found.start() - 200):found.start()]):
            yield "text", said


def names_of_source(text):
    """`(kind, name)` of everything in one source file."""
    code = without_comments(text)
    return {*members_of(code), *log_names(code), *texts(code)}


def names_of_manifest(manifest):
    """`(kind, name)` of a crate's Cargo.toml."""
    table = tomllib.loads(manifest.read_text())
    return {("package", table["package"]["name"]), *(("binary", b["name"]) for b in table.get("bin", [])),
            *(("feature", name) for name in table.get("features", {}))}


def keys(table):
    """Each key of a TOML table and of the tables in it."""
    for key, value in table.items():
        yield key
        if isinstance(value, dict):
            yield from keys(value)


def outer_names(root):
    """Each `(crate, kind, name)` of a checkout."""
    found = set()
    for manifest in sorted(root.glob("crates/**/Cargo.toml")):
        crate = manifest.parent
        found |= {(crate.name, *name) for name in names_of_manifest(manifest)}
        for source in sorted((crate / "src").rglob("*.rs")):
            found |= {(crate.name, *name) for name in names_of_source(source.read_text(encoding="utf-8"))}
    if (root / ".ci/run").is_file():
        run = (root / ".ci/run").read_text()
        found |= {("ci", "test", name) for name in re.findall(r"--test ([a-z_]+)", run)}
        found |= {("ci", "text", name) for name in re.findall(r"\b[A-Z]+_[A-Z_]+(?==)", run)}
    for file in sorted(root.glob("deploy/*.toml")):
        found |= {("deploy", "key", key) for key in keys(tomllib.loads(file.read_text()))}
    return found


def missing(before, now):
    """The names of `before` that their crate has no more, of whatever kind they were."""
    present = {(crate, name) for crate, _, name in now}
    return sorted(entry for entry in before if (entry[0], entry[2]) not in present)


def parse(listed):
    """The entries of a list that this script has printed."""
    return {tuple(line.split(" ", 2)) for line in listed.splitlines() if line.strip()}


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root", nargs="?", default=".", type=Path)
    parser.add_argument("--kept", type=Path, metavar="LIST")
    options = parser.parse_args(arguments)
    now = outer_names(options.root)
    if options.kept is None:
        print("\n".join(" ".join(entry) for entry in sorted(now)))
        return 0
    before = parse(options.kept.read_text(encoding="utf-8"))
    gone = missing(before, now)
    for entry in gone:
        print(" ".join(entry))
    print(f"{len(before)} names, {len(gone)} missing")
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
