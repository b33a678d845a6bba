#!/usr/bin/env python3
"""Finds import cycles between the source files of each crate.

A file imports another when it names one of the other's modules by a `crate::`, `super::` or `self::` path, in a `use`
or in place. A module and those inside it may refer to each other: a type's `impl` blocks are often spread over files.
Every other cycle is printed as a group of files, and the exit code is 1.

    scripts/check_import_cycles.py [FOLDER]     the folder that holds the crates; default: crates
"""

import re
import sys
from pathlib import Path

PATH = re.compile(r"\b(crate|super|self)((?:::super)*)((?:::[a-z_][A-Za-z0-9_]*)+)(::\{)?")
COMMENT = re.compile(r"//.*")
Module = tuple[str, ...]


def module_of(file: Path, source: Path) -> Module:
    """The path of the module that a file holds; the root's is empty."""
    parts = list(file.relative_to(source).with_suffix("").parts)
    if parts[-1] in ("mod", "lib", "main"):
        parts.pop()
    return tuple(parts)


def braced_names(text: str, start: int) -> list[str]:
    """The first segments of the names in a brace list that begins before `start`."""
    depth, name, names = 1, "", []
    for character in text[start:]:
        if depth == 1 and character in ",}":
            names.append(name.strip().split("::")[0])
            name = ""
        elif depth == 1 and character != "{":
            name += character
        depth += {"{": 1, "}": -1}.get(character, 0)
        if depth == 0:
            break
    return [name for name in names if name]


def named_paths(text: str, module: Module) -> list[Module]:
    """The paths inside the crate that a file names, from the root."""
    paths = []
    for match in PATH.finditer(text):
        start, more_supers, tail, brace = match.groups()
        segments = tuple(tail.split("::")[1:])
        if start == "crate":
            base: Module = ()
        else:
            levels = (start == "super") + more_supers.count("super")
            base = module[: len(module) - levels] if levels else module
        if brace:
            paths += [base + segments + (name,) for name in braced_names(text, match.end())]
        else:
            paths.append(base + segments)
    for match in re.finditer(r"\bcrate::\{", text):
        paths += [(name,) for name in braced_names(text, match.end())]
    return paths


def imports_of(source: Path) -> dict[Module, set[Module]]:
    """Which modules each module imports, without those that contain it or are contained in it."""
    files = {module_of(file, source): file for file in sorted(source.rglob("*.rs"))}
    imports: dict[Module, set[Module]] = {}
    for module, file in files.items():
        text = COMMENT.sub("", file.read_text(encoding="utf-8"))
        targets = set()
        for path in named_paths(text, module):
            while path and path not in files:
                path = path[:-1]
            nested = path == module[: len(path)] or module == path[: len(module)]
            if path and not nested:
                targets.add(path)
        imports[module] = targets
    return imports


def reachable(imports: dict[Module, set[Module]], start: Module) -> set[Module]:
    """All modules that `start` imports, directly or through others."""
    seen: set[Module] = set()
    queue = list(imports[start])
    while queue:
        module = queue.pop()
        if module not in seen:
            seen.add(module)
            queue += imports[module]
    return seen


def cycles(imports: dict[Module, set[Module]]) -> list[list[Module]]:
    """Groups of modules that import each other in a circle."""
    reach = {module: reachable(imports, module) for module in imports}
    groups = {
        tuple(sorted(other for other in reach[module] if module in reach[other]))
        for module in imports
        if module in reach[module]
    }
    return [list(group) for group in sorted(groups)]


def main(folder: Path) -> int:
    found = 0
    for source in sorted(path for path in folder.rglob("src") if (path.parent / "Cargo.toml").exists()):
        for group in cycles(imports_of(source)):
            found += 1
            print(f"{source.parent}: {', '.join('::'.join(module) for module in group)}")
    print(f"{found} import cycles")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1] if len(sys.argv) > 1 else "crates")))
