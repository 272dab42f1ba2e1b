"""Some answers are endless and keep on coming in small pieces, and the forwarder outgrows its memory limit.
See claim.txt."""

import os
import re
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Forwarder, Platform, Target, run_case, settings, submission, read_status, trouble

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
MESSAGES_PER_S = 80
DURATION_S = 8.0
PIECE = b"z" * 64
PIECES_PER_S = 1000


def private_memory(process):
    """The memory that the process has allocated, in bytes, without the pages of its program file."""
    with open(f"/proc/{process.pid}/status") as file:
        return int(re.search(r"RssAnon:\s+(\d+) kB", file.read()).group(1)) * 1024


def case(record):
    platform = Platform(record)
    endless = set()
    brought = [0]
    lock = threading.Lock()

    def delivers(target, call):
        """Runs the call. Every second answer is endless; its first line says 200."""
        if not trouble() or len(target.calls) % 2 == 0:
            target.ok(call)
            return True
        connection = call["connection"]
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
        record.line(target.name, f"answered 200 to {' '.join(call['ids'])}, and the answer goes on")
        with lock:
            endless.add(connection)
        while True:
            time.sleep(0.1)
            with lock:
                if connection not in endless:
                    return False

    def go_on():
        while True:
            start = time.monotonic()
            with lock:
                open_answers = list(endless)
            for connection in open_answers:
                try:
                    brought[0] += connection.send(PIECE, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    pass
                except OSError:
                    with lock:
                        endless.discard(connection)
            time.sleep(max(0.0, start + 1.0 / PIECES_PER_S - time.monotonic()))

    threading.Thread(target=go_on, daemon=True).start()
    targets = [Target(record, f"t-{number}", number, delivers) for number in range(1, 6)]
    platform.publish([target.entry() for target in targets])
    forwarder = Forwarder(record, platform, settings([
        ("episode-update", "idempotent", {"onTimeUs": 4000000, "giveUpUs": 24000000}),
        ("ad-order", "at_most_once", {"onTimeUs": 2000000, "giveUpUs": 28000000, "importance": 2.0}),
    ]), limits=LIMITS)
    forwarder.start(platform.known())

    # The platform kills a forwarder that is over its memory limit.
    limit = LIMITS["memory_mb"] * 1024 * 1024
    seen = {"peak": 0, "killed": None}
    stop = threading.Event()

    def watch_memory():
        shown = 0.0
        while not stop.is_set() and forwarder.process.poll() is None:
            try:
                used = private_memory(forwarder.process)
            except (OSError, AttributeError):
                return
            seen["peak"] = max(seen["peak"], used)
            if time.monotonic() >= shown:
                shown = time.monotonic() + 0.25
                record.line("platform", f"n0 uses {used / 1e6:.1f} MB, {len(endless)} answers go on and "
                                        f"have brought {brought[0] / 1e6:.1f} MB in all")
            if used > limit:
                seen["killed"] = used
                record.line("platform", f"n0 uses {used / 1e6:.1f} MB, over its limit of {LIMITS['memory_mb']} MB; the "
                            f"endless answers have brought {brought[0] / 1e6:.1f} MB in all")
                forwarder.signal(signal.SIGKILL)
                return
            time.sleep(0.005)

    watcher = threading.Thread(target=watch_memory, daemon=True)
    watcher.start()

    # One client hands in messages on a connection that it keeps.
    start = time.monotonic()
    client = None
    statuses = {}
    for number in range(int(MESSAGES_PER_S * DURATION_S)):
        time.sleep(max(0.0, start + number / MESSAGES_PER_S - time.monotonic()))
        if seen["killed"]:
            break
        name = f"order-{number}"
        status = "refused"
        try:
            if client is None:
                client = socket.create_connection(("127.0.0.1", forwarder.port), 1)
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client.sendall(submission(name, "ad-order", 8.0, number % 5 + 1, b"o" * 200))
            status = read_status(client, 0.4)
        except OSError:
            pass
        if not isinstance(status, int):
            client = None
        statuses[status] = statuses.get(status, 0) + 1
        record.line("client", f"{name} ad-order dest={number % 5 + 1}: {status}")
    if not seen["killed"]:
        time.sleep(2.5)
    stop.set()
    watcher.join()
    if not seen["killed"] and forwarder.process.poll() is not None:
        return [f"the forwarder ended with {forwarder.process.returncode}"]
    record.line("case", f"answers to the client: {statuses}; peak of memory {seen['peak'] / 1e6:.1f} MB")
    if statuses.get(202, 0) < 10:
        raise RuntimeError("hardly any message was taken on")
    if seen["killed"]:
        return [f"the forwarder was killed for memory, with {seen['killed'] / 1e6:.1f} MB at a limit of "
                f"{LIMITS['memory_mb']} MB, after {sum(statuses.values())} messages: it has crashed"]
    return []


run_case(case, HERE)
