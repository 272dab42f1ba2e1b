#!/usr/bin/env python3
"""Starts a real forwarder on a ledger with many owed envelopes and measures its start, on loopback.

    cargo build --release -p reeddock-daemon -p reeddock-wal --example owed --bin reeddock
    docs/measure/start_with_owed.py target/release/reeddock target/release/examples/owed 320000 75000 150000 1200000

The first number is of the destinations that the envelopes are spread over. For each further number of envelopes (bodies of 440 bytes) prints one JSON line: seconds from the start of the process until
its health check answers 200, processor seconds until then, resident and peak memory, and the size of its folder.
Nobody answers as discovery, so that nothing is delivered meanwhile. Ends the process that it started.
"""

import http.client
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time

BODY_BYTES = 440
GIVE_UP_S = 240


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def status_bytes(pid, key):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(key + ":"):
                return int(line.split()[1]) * 1024
    return 0


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def healthy(port):
    try:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        connection.request("GET", "/healthz")
        return connection.getresponse().status == 200
    except OSError:
        return False


def configuration(port, disk_mb):
    with open(os.path.join(os.path.dirname(__file__), "../../examples/forwarder.json")) as example:
        config = json.load(example)
    config["listen"] = f"127.0.0.1:{port}"
    config["discovery"] = f"127.0.0.1:{free_port()}"
    config["limits"] = {"cores": 1.0, "memory_mb": 16384, "sockets": 1024, "disk_mb": disk_mb}
    config["settings"]["policyLimits"]["openCap"] = 10_000_000
    config["settings"]["classes"].append(
        {"name": "order", "effect": "idempotent", "onTimeUs": 2_000_000, "giveUpUs": 7_200_000_000, "importance": 1.0}
    )
    return config


def measure(reeddock, owed, destinations, count, scratch):
    state = os.path.join(scratch, "state")
    fill = [owed, "fill", state, str(count), str(BODY_BYTES), destinations]
    filled = subprocess.run(fill, check=True, capture_output=True)
    disk = json.loads(filled.stdout)["disk"]
    port = free_port()
    file = os.path.join(scratch, "config.json")
    with open(file, "w") as config:
        json.dump(configuration(port, disk * 3 // 1_000_000 + 200), config)
    begun = time.monotonic()
    process = subprocess.Popen(
        [reeddock, "serve", "--config", file, "--state", state, "--log", "warn"], stderr=subprocess.DEVNULL
    )
    try:
        while not healthy(port):
            if process.poll() is not None or time.monotonic() - begun > GIVE_UP_S:
                return {"owed": count, "failed": "not ready", "after_s": round(time.monotonic() - begun, 1)}
            time.sleep(0.01)
        return {
            "owed": count,
            "ready_s": round(time.monotonic() - begun, 3),
            "processor_s": processor_seconds(process.pid),
            "resident": status_bytes(process.pid, "VmRSS"),
            "peak": status_bytes(process.pid, "VmHWM"),
            "disk": disk,
        }
    finally:
        process.kill()
        process.wait()


def main():
    if len(sys.argv) < 5 or not all(word.isdigit() for word in sys.argv[3:]):
        sys.exit("start_with_owed: expected REEDDOCK OWED DESTINATIONS COUNT...")
    for count in map(int, sys.argv[4:]):
        scratch = tempfile.mkdtemp(prefix="reeddock-owed-")
        try:
            print(json.dumps(measure(sys.argv[1], sys.argv[2], sys.argv[3], count, scratch)), flush=True)
        finally:
            shutil.rmtree(scratch)


main()
