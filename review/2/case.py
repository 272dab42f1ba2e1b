"""A second copy of an answer is still under way when the forwarder sends a message on that connection, and the forwarder
takes it as that message's answer. See claim.txt."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import DelayProxy, Forwarder, Platform, Target, answer, run_case, settings, submit, trouble

REFUSING = range(1, 5)   # partners whose refusal comes twice
RUNNING = range(5, 9)    # partners whose 200 comes twice
ORDERS = 5               # orders that follow the first one of a running partner
ONE_WAY_S = 0.060        # the brief: 45 to 75 ms one way between the buildings
COPY_AFTER_S = 0.015
BUDGET_S = 8.0


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
    calls = {}      # how many calls with each order have come
    runs = {}       # how often each order has run
    answered = {}   # when the first order of a running partner was answered
    lock = threading.Lock()

    def second_copy(target, connection, status):
        if not trouble():
            return
        time.sleep(COPY_AFTER_S)
        if nothing_waits(connection):
            connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            record.line(target.name, f"second copy of that answer ({status}); nothing else waits on the connection")

    def run(target, call, name):
        with lock:
            runs[name] = runs.get(name, 0) + 1
        record.line(target.name, f"runs {name}, for the {runs[name]}. time")
        target.ok(call)

    def partner(target, call):
        name = call["ids"][0]
        with lock:
            calls[name] = calls.get(name, 0) + 1
            first_call = calls[name] == 1
        if name.startswith("first-"):
            answered[name] = time.monotonic()
            run(target, call, name)
            second_copy(target, call["connection"], "200 OK")
        elif first_call:
            # Over its limit: each other order is turned away unseen when it comes for the first time.
            answer(call["connection"], "503 Service Unavailable")
            record.line(target.name, f"answered 503 to {name}, which has not run")
            if target.cell in REFUSING:
                second_copy(target, call["connection"], "503 Service Unavailable")
        else:
            run(target, call, name)

    cells = [*REFUSING, *RUNNING]
    targets = [Target(record, f"t-{cell}", cell, partner) for cell in cells]
    proxies = [DelayProxy(record, f"way to {target.name}", target.port, ONE_WAY_S) for target in targets]
    platform.publish([{**target.entry(zone="building-b"), "hostPort": proxy.address}
                      for target, proxy in zip(targets, proxies)])
    forwarder = Forwarder(record, platform, settings([
        ("episode-update", "idempotent", {"onTimeUs": 4000000, "giveUpUs": 24000000}),
        ("ad-order", "at_most_once", {"onTimeUs": 2000000, "giveUpUs": 28000000, "importance": 2.0}),
    ], areas=["building-a", "building-b", "building-c"], az="building-a", familyInfo__zoneFee=[0.0, 0.0, 0.0]))
    forwarder.start(platform.known())

    taken = {}

    def hand_in(name, cell):
        if submit(record, forwarder, name, "ad-order", BUDGET_S, cell) != 202:
            raise RuntimeError(f"{name} was not taken on")
        taken[name] = time.monotonic() + BUDGET_S

    for cell in REFUSING:
        hand_in(f"order-{cell}", cell)
        time.sleep(0.05)
    for cell in RUNNING:
        first = f"first-{cell}"
        hand_in(first, cell)
        end = time.monotonic() + 2.0
        while first not in answered:
            if time.monotonic() > end:
                raise RuntimeError(f"{first} was not sent")
            time.sleep(0.0005)
        # More orders for the same partner come about when that answer reaches the forwarder.
        time.sleep(max(0.0, answered[first] + ONE_WAY_S - 0.004 - time.monotonic()))
        for number in range(ORDERS):
            hand_in(f"order-{cell}-{number}", cell)
    time.sleep(max(taken.values()) + 0.5 - time.monotonic())

    breaks = []
    for name in taken:
        if runs.get(name, 0) > 1:
            breaks.append(f"duplicate: {name}, which must never take effect twice, ran {runs[name]} times")
        if runs.get(name, 0) == 0 and not platform.notices_of(name):
            breaks.append(f"lost: {name} was taken on, sent {calls.get(name, 0)} time(s) and turned away unseen; it has neither "
                          f"been delivered nor ended by a notice 300 ms after its time was up")
    return breaks


run_case(case, HERE)
