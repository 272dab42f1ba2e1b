"""Messages with the same key wait while their partner is shut, and the forwarder is killed and started again once its
write-ahead log has been compacted in part. See claim.txt."""

import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Forwarder, Platform, Target, answer, run_case, settings, submit, trouble

BUDGET_S = 16.0
KEYS = 60
GAP = 7          # how many steps lie between the two messages of a key
FILL = 6         # messages for another partner in each step
BODY = b"y" * 3000


def case(record):
    platform = Platform(record)
    shut = threading.Event()
    shut.set()

    def partner(target, call):
        if shut.is_set():
            answer(call["connection"], "503 Service Unavailable")
        else:
            target.ok(call)

    waiting = Target(record, "t-3", 3, partner)
    busy = Target(record, "t-4", 4, lambda target, call: target.ok(call))
    platform.publish([waiting.entry(kind="mid-rank"), busy.entry(kind="mid-rank")])
    forwarder = Forwarder(record, platform, settings(
        [("trail-status", "idempotent", {"onTimeUs": 3000000, "giveUpUs": 16000000}),
         ("map-revision", "deduplicated", {"onTimeUs": 4000000, "giveUpUs": 16000000, "windowUs": 4000000,
                                           "dedupScope": "zone", "sequential": True})],
        (("mid-rank", True, 1),), guarantees__keyQuietUs=1000000, policyLimits__mayDuplicate=False,
        guarantees__drainGraceUs=500000))
    forwarder.start(platform.known())
    filled = 0

    def fill():
        """Hands in messages for the other partner, all at once; they are delivered."""
        nonlocal filled
        names = [f"status-{filled + n}" for n in range(FILL)]
        filled += FILL
        threads = [threading.Thread(target=submit, args=(record, forwarder, name, "trail-status", 10.0, 4, BODY))
                   for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def revise(key, number):
        name = f"rev-{key}-{number}"
        status = submit(record, forwarder, name, "map-revision", BUDGET_S, 3, b"revision", [f"X-Route-Hash: about={key}"])
        if status != 202:
            raise RuntimeError(f"{name} was not taken on: {status}")

    for _ in range(50):
        fill()
    for step in range(KEYS + GAP):
        fill()
        if step < KEYS:
            revise(step, 1)
        if step >= GAP:
            revise(step - GAP, 2)

    if trouble():
        forwarder.signal(signal.SIGKILL)
        forwarder.process.wait()
        time.sleep(0.6)
    shut.clear()
    record.line("t-3", "is open again")
    if trouble():
        forwarder.start(platform.known())
    time.sleep(BUDGET_S + 1.0)

    breaks = []
    for key in range(KEYS):
        first, second = waiting.calls_of(f"rev-{key}-1"), waiting.calls_of(f"rev-{key}-2")
        ended = platform.notices_of(f"rev-{key}-1")
        for call in second:
            # A delivered message is over once its answer is written; calls of the time when the partner was shut never ran.
            earlier = [c for c in first if c.get("delivered_at") is not None and c["delivered_at"] <= call["at"]]
            notices = [n for n in ended if n["at"] <= call["at"] + 0.05]
            if not earlier and not notices:
                later = [c["at"] - call["at"] for c in first if c["at"] > call["at"]]
                when = f", which came {later[0] * 1000:.1f} ms later and ran last" if later else ""
                breaks.append(f"rev-{key}-2 was sent while rev-{key}-1, taken on before it, was not over{when}")
    return breaks


run_case(case, HERE)
