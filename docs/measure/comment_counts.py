#!/usr/bin/env python3
"""Counts comments of Rust sources by package, in kinds that are hard to read.

comment_counts.py [ROOT]: a comment is a run of neighbouring lines with one of the markers //, /// or //!.
Words are counted without code fences. Prints a table with a row for each package and one for all.
"""
import re
import subprocess
import sys
from collections import Counter

MARKER = re.compile(r"^\s*(///|//!|//)(?:\s(.*))?$")
DANGLING = re.compile(
    r"^(It|Its|They|Their|Them|This|That|These|Those|Such|Until then|Then|There|Here|The same|Not|Nor|None|Neither"
    r"|Each of them|Either|As above|Likewise|So|Also|Else|Otherwise|Same|Others|What|Where|Which|Who|Whose|When|From when)\b"
)
TUNING = re.compile(r"(Symptom:|Also covers|It can harm|[Mm]easured at|guess|recoveries each time|no rule broken)")
HOUSE = re.compile(
    r"\b(told|the least|the most|is over|into force|beside|anew|as [^.,;]{1,40} so that|put off|puts off|struck|travels?|to blame"
    r"|asks|heeds?|escaped|drawn|burden|silent)\b"
)
KINDS = ["comments", "dangling", "up to 3 words", "over 60 words", "tuning", "house words", "house names"]
NAMES = re.compile(
    r"\b(How|Since|Second|Due|Pair|Occasion|Ends|Contents|Watched|Verdict|Knowledge|put_off|pass_on|ask|earned_part"
    r"|is_without_endpoints|subjects_up_to|second|known_within|void|most|keep|moves|TIMEOUT_MEANS|TRIAL_MEANS|EXTRA_STEPS)\b"
)
ARTICLE_TEST = re.compile(r"^\s*(?:async )?fn (a|an|the)_\w+\(")


def package(path):
    parts = path.split("/")
    if parts[0] == "crates":
        return parts[1]
    return "/".join(parts[:2]) if parts[0] == "src" and len(parts) > 2 else parts[0]


def comments(lines):
    text, marker = [], None
    for line in lines + [""]:
        found = MARKER.match(line)
        if found and found[1] == marker:
            text.append(found[2] or "")
            continue
        if text:
            yield " ".join(text)
        text, marker = ([found[2] or ""], found[1]) if found else ([], None)


def count(path):
    lines = open(path, encoding="utf-8").read().split("\n")
    counts = Counter()
    for comment in comments(lines):
        words = comment.split()
        counts["comments"] += 1
        counts["dangling"] += bool(DANGLING.match(comment.strip()))
        counts["up to 3 words"] += len(words) <= 3
        counts["over 60 words"] += len(words) > 60
        counts["tuning"] += bool(TUNING.search(comment))
        counts["house words"] += bool(HOUSE.search(comment))
    code = [line for line in lines if not MARKER.match(line)]
    counts["house names"] = sum(len(NAMES.findall(re.sub(r'"[^"]*"', "", line))) for line in code)
    counts["article tests"] = sum(bool(ARTICLE_TEST.match(line)) for line in code)
    return counts


def main():
    root = sys.argv[1] if len(sys.argv) > 1 else "."
    files = subprocess.run(["git", "ls-files", "*.rs"], cwd=root, capture_output=True, text=True, check=True).stdout.split()
    totals = {}
    for path in files:
        totals.setdefault(package(path), Counter()).update(count(f"{root}/{path}"))
    totals["all"] = sum((totals[name] for name in list(totals)), Counter())
    kinds = KINDS + ["article tests"]
    print(f"{'package':16}" + "".join(f"{kind:>15}" for kind in kinds))
    for name, counts in totals.items():
        print(f"{name:16}" + "".join(f"{counts[kind]:>15}" for kind in kinds))


if __name__ == "__main__":
    main()
