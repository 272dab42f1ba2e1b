"""A second copy of an answer is still on its way when the forwarder sends the next message on that connection, and the
forwarder takes it as that message's answer. See claim.txt."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import DelayProxy, Forwarder, Platform, Target, answer, run_case, settings, submit, trouble

PARTNERS = 8
ORDERS = 5          # messages that follow the first one of each partner
ONE_WAY_S = 0.060   # the brief: 45 to 75 ms one way between the buildings
COPY_AFTER_S = 0.015
BUDGET_S = 10.0


def nothing_waits(connection):
    """Whether no byte waits to be read on the connection."""
    try:
        connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return False
    except BlockingIOError:
        return True
    except OSError:
        return False


def case(record):
    platform = Platform(record)
    ran = set()
    answered = {}
    lock = threading.Lock()

    def partner(target, call):
        name = call["ids"][0]
        connection = call["connection"]
        if name.startswith("first-"):
            with lock:
                ran.add(name)
            answered[name] = time.monotonic()
            target.ok(call)
            if trouble():
                time.sleep(COPY_AFTER_S)
                if nothing_waits(connection):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    record.line(target.name, f"second copy of the answer to {name}; nothing else waits on the connection")
            return
        # Over its limit: each order is turned away unseen at first, and run when it comes again.
        if len(target.calls_of(name)) == 1:
            answer(connection, "503 Service Unavailable")
            record.line(target.name, f"answered 503 to {name}, which has not run")
            return
        with lock:
            ran.add(name)
        target.ok(call)

    targets = [Target(record, f"t-{cell}", cell, partner) for cell in range(1, PARTNERS + 1)]
    proxies = [DelayProxy(record, f"way to {target.name}", target.port, ONE_WAY_S) for target in targets]
    platform.publish([{**target.entry(), "hostPort": proxy.address} for target, proxy in zip(targets, proxies)])
    forwarder = Forwarder(record, platform, settings([
        ("episode-update", "idempotent", {"onTimeUs": 4000000, "giveUpUs": 24000000}),
        ("ad-order", "at_most_once", {"onTimeUs": 2000000, "giveUpUs": 28000000, "importance": 2.0}),
    ]))
    forwarder.start(platform.known())

    taken = {}
    for cell in range(1, PARTNERS + 1):
        first = f"first-{cell}"
        if submit(record, forwarder, first, "ad-order", BUDGET_S, cell) != 202:
            raise RuntimeError(f"{first} was not taken on")
        end = time.monotonic() + 2.0
        while first not in answered:
            if time.monotonic() > end:
                raise RuntimeError(f"{first} was not sent")
            time.sleep(0.0005)
        # More orders for the same partner come about when that answer reaches the forwarder.
        time.sleep(max(0.0, answered[first] + ONE_WAY_S - 0.004 - time.monotonic()))
        for number in range(ORDERS):
            name = f"order-{cell}-{number}"
            if submit(record, forwarder, name, "ad-order", BUDGET_S, cell) == 202:
                taken[name] = time.monotonic() + BUDGET_S
    if len(taken) < PARTNERS * ORDERS:
        raise RuntimeError("not every order was taken on")

    end = max(taken.values()) + 0.5
    while time.monotonic() < end:
        with lock:
            open_orders = [name for name in taken if name not in ran and not platform.notices_of(name)]
        if not open_orders:
            break
        time.sleep(0.02)

    breaks = []
    for name in taken:
        if name not in ran and not platform.notices_of(name):
            calls = sum(len(target.calls_of(name)) for target in targets)
            breaks.append(f"{name} was taken on, sent {calls} time(s) and turned away unseen; it has neither been delivered "
                          f"nor ended by a notice 300 ms after its time was up")
    return breaks


run_case(case, HERE)
