#!/usr/bin/env python3
"""same_shape.py ROOT OLD NEW [PATH...]: compares Rust files of two commits with names, texts and comments taken out.
Numbers, operators, keywords and literals' order are compared; `use` items, attributes' texts and trailing commas are left out."""
import difflib, re, subprocess, sys
root, old, new, paths = sys.argv[1], sys.argv[2], sys.argv[3], sys.argv[4:]
def git(*a): return subprocess.run(["git", *a], cwd=root, capture_output=True, text=True, check=True).stdout
KEY = set("as async await break const continue crate dyn else enum extern false fn for if impl in let loop match mod move mut pub ref return self Self static struct super trait true type unsafe where while assert assert_eq assert_ne".split())
TOK = re.compile(r'''(?P<c>//[^\n]*|/\*.*?\*/)|(?P<s>b?r#*".*?"#*|b?"(?:\\.|[^"\\])*")|(?P<ch>b?'(?:\\.[^']*|[^'\\])')|(?P<l>'\w+)|(?P<n>\d[\w.]*)|(?P<w>\w+)|(?P<p>[^\w\s])''', re.S)
def shape(text):
    text = re.sub(r"^\s*(?:pub(?:\([a-z]+\))? )?use [^;]*;", "", text, flags=re.M)
    out = []
    for m in TOK.finditer(text):
        k = m.lastgroup
        if k == "c" or k == "l": continue
        t = m[0]
        if k == "s": t = '"S"' 
        elif k == "w" and t not in KEY: t = "I"
        if t in ")]}" and out and out[-1] == ",": out.pop()
        out.append(t)
    return out
status = [l.split("\t") for l in git("diff", "-M", "--name-status", old, new, "--", *(paths or ["*.rs"])).splitlines()]
diffs = 0
for row in status:
    if not row[-1].endswith(".rs"): continue
    if row[0][0] in "AD": print(row[0], row[-1]); continue
    a, b = shape(git("show", f"{old}:{row[1]}")), shape(git("show", f"{new}:{row[-1]}"))
    if a == b: continue
    strings = lambda s: [t for t in s]
    diffs += 1
    print("DIFFERS", row[-1])
    for tag, i1, i2, j1, j2 in difflib.SequenceMatcher(None, a, b, autojunk=False).get_opcodes():
        if tag != "equal": print("   ", tag, " ".join(a[max(0,i1-4):i1]), "[", " ".join(a[i1:i2]), "] -> [", " ".join(b[j1:j2]), "]", " ".join(a[i2:i2+4]))
print(len(status), "files changed,", diffs, "differ in shape")
