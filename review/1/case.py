"""A forwarder restarts with the list that it last had, while a target has been replaced by one of another
destination at the same address. See claim.txt."""

import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Forwarder, Platform, Target, answer, run_case, settings, submit, trouble

BUDGET_S = 12.0
MESSAGES = 4


def case(record):
    platform = Platform(record)

    def shut(target, call):
        answer(call["connection"], "503 Service Unavailable")

    def delivers(target, call):
        target.ok(call)

    # Partner 3 is shut: its only target turns every call away unseen.
    old = Target(record, "t-old", 3, shut)
    platform.publish([old.entry()])
    forwarder = Forwarder(record, platform, settings([
        ("episode-update", "idempotent", {"onTimeUs": 4000000, "giveUpUs": 24000000}),
        ("ad-order", "at_most_once", {"onTimeUs": 2000000, "giveUpUs": 28000000, "importance": 2.0}),
    ]))
    forwarder.start(platform.known())
    taken = {}
    for number in range(MESSAGES):
        name = f"order-{number}"
        if submit(record, forwarder, name, "ad-order", BUDGET_S, 3) == 202:
            taken[name] = time.monotonic() + BUDGET_S
    if len(taken) < MESSAGES:
        raise RuntimeError("not every message was taken on")
    time.sleep(0.3)
    last_known = platform.known()
    if trouble():
        forwarder.signal(signal.SIGKILL)
        forwarder.process.wait()
    killed_at = time.monotonic()

    # The old target goes. A target of partner 7 starts at its address, and partner 3 gets one elsewhere.
    platform.publish([{**old.entry(), "lifecycle": "Gone"}])
    time.sleep(0.15)
    old.close()
    time.sleep(0.05)
    other = Target(record, "t-other", 7, delivers, port=old.port)
    new = Target(record, "t-new", 3, delivers)
    platform.publish([other.entry(), new.entry()])
    time.sleep(max(0.0, killed_at + 0.6 - time.monotonic()))
    if trouble():
        forwarder.start(last_known)

    end = max(taken.values()) + 0.4
    while time.monotonic() < end:
        done = [n for n in taken if new.calls_of(n) or platform.notices_of(n)]
        if len(done) == len(taken):
            break
        time.sleep(0.02)
    time.sleep(0.2)

    breaks = []
    for name in taken:
        for call in other.calls_of(name):
            breaks.append(f"{name} for partner 3 was sent to {other.name} of partner 7, which ran it")
        if not new.calls_of(name) and not platform.notices_of(name):
            breaks.append(f"{name} was taken on and neither delivered to partner 3 nor ended by a notice")
    return breaks


run_case(case, HERE)
