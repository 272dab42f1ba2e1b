"""A message of an ordered category runs out of time in a bundle whose target hangs, and the next message with its key
is sent while that call is still out. See claim.txt."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Forwarder, Platform, Target, answer, run_case, settings, submit, trouble

KEY_QUIET_S = 1.0
HANG_S = 3.4
SLACK_S = 0.05


def is_open(connection):
    """Whether the other side has neither closed the connection nor ended its sending."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


def case(record):
    platform = Platform(record)
    ran = []  # (time, id), in the order in which the partner ran them
    bundle = {}
    lock = threading.Lock()

    def run(target, call):
        with lock:
            ran.extend((time.monotonic(), name) for name in call["ids"])
        record.line(target.name, f"runs {' '.join(call['ids'])}")
        target.ok(call)

    def route_1(target, call):
        if len(target.calls) == 1:
            # The partner is over its limit for a moment.
            answer(call["connection"], "429 Too Many Requests", ["Retry-After: 0.6"])
            record.line(target.name, "answered 429 with Retry-After: 0.6")
            return True
        if "rev-1" in call["ids"]:
            bundle.update(call)
            if trouble():
                record.line(target.name, f"hangs with {' '.join(call['ids'])}")
                end = time.monotonic() + HANG_S
                while time.monotonic() < end:
                    if not is_open(call["connection"]):
                        bundle["ended"] = time.monotonic()
                        record.line(target.name, "the forwarder has given up the call")
                        return False
                    time.sleep(0.002)
            run(target, call)
            bundle["answered"] = time.monotonic()
            return True
        run(target, call)
        return True

    def route_2(target, call):
        run(target, call)

    kinds = (("first-rank", True, 20),)
    first = Target(record, "t-1", 3, route_1)
    platform.publish([first.entry(kind="first-rank")])
    forwarder = Forwarder(record, platform, settings(
        [("trail-status", "idempotent", {"onTimeUs": 3000000, "giveUpUs": 16000000}),
         ("map-revision", "deduplicated", {"onTimeUs": 4000000, "giveUpUs": 16000000, "windowUs": 4000000,
                                           "dedupScope": "zone", "sequential": True})],
        kinds, guarantees__keyQuietUs=int(KEY_QUIET_S * 1e6), policyLimits__mayDuplicate=False,
        guarantees__drainGraceUs=500000))
    forwarder.start(platform.known())
    key = ["X-Route-Hash: about=77"]

    # The first message is told to wait; what is handed in meanwhile goes with it in one call.
    statuses = [submit(record, forwarder, "status-1", "trail-status", 12.0, 3)]
    while len(first.calls) < 1:
        time.sleep(0.002)
    time.sleep(0.05)
    statuses.append(submit(record, forwarder, "rev-1", "map-revision", 2.0, 3, b"first revision", key))
    statuses.append(submit(record, forwarder, "rev-2", "map-revision", 12.0, 3, b"second revision", key))
    if statuses != [202, 202, 202]:
        raise RuntimeError(f"not every message was taken on: {statuses}")
    while not bundle:
        time.sleep(0.002)
        if time.monotonic() - first.calls[0]["at"] > 5:
            raise RuntimeError("no call with rev-1")
    if len(bundle["ids"]) < 2:
        raise RuntimeError("rev-1 went alone")
    # A second route of the partner is added to the list.
    second = Target(record, "t-2", 3, route_2)
    platform.publish([second.entry(kind="first-rank")])

    end = time.monotonic() + 13.0
    while time.monotonic() < end:
        if (first.calls_of("rev-2") or second.calls_of("rev-2")) and ("answered" in bundle or "ended" in bundle):
            break
        time.sleep(0.01)
    time.sleep(0.3)

    # The call with rev-1 had no outcome until it was answered, or the forwarder gave it up.
    out_until = bundle.get("answered") or bundle.get("ended") or time.monotonic()
    breaks = []
    for call in first.calls_of("rev-2") + second.calls_of("rev-2"):
        if call["at"] < out_until - SLACK_S:
            breaks.append(f"rev-2 was sent {call['at'] - bundle['at']:.3f} s after the call with rev-1 had come, and "
                          f"{out_until - call['at']:.3f} s before that call had an outcome")
    order = [name for _, name in sorted(ran) if name.startswith("rev-")]
    record.line("case", f"the partner ran, in this order: {' '.join(order)}")
    return breaks


run_case(case, HERE)
