"""Stand-ins for clients, targets and the platform, and control of forwarder processes.

Python's standard library only. All sockets are on loopback, with free ports. Every process that a test starts
is ended by its id when the test ends.
"""

import json
import os
import queue
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


class Record:
    """What was sent, answered and run, in the order in which it happened; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.lock = threading.Lock()

    def line(self, who, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:9.4f} {who:<12} {text}\n")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def listen(port=0):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", port))
    s.listen(512)
    return s


def read_request(stream):
    """Reads one HTTP request from a buffered file; returns (line, headers, body), or None at the end."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = stream.readline()
        if not header:
            return None
        if header in (b"\r\n", b"\n"):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return line.decode("latin-1").strip(), headers, body


class Server:
    """An HTTP server with a thread for each connection."""

    def __init__(self, port=0):
        self.socket = listen(port)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.closed = False
        self.connections = set()
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.closed:
                    connection.close()
                    continue
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None or self.handle(connection, *request) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def handle(self, connection, line, headers, body):
        raise NotImplementedError

    def close(self):
        """Stops listening and ends all connections, as a process that ends does."""
        with self.lock:
            self.closed = True
            connections = list(self.connections)
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def answer(connection, status, headers=(), body=b""):
    head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)


def bundle_messages(body):
    """Returns the (id, key, bytes) of each message of a bundle."""
    messages = []
    while body:
        head, _, rest = body.partition(b"\r\n")
        name, key, length = head.decode("latin-1").split(" ")
        messages.append((name, key, rest[: int(length)]))
        body = rest[int(length) + 2:]
    return messages


class Target(Server):
    """A target of one destination. `behave(target, call)` answers a call; it returns False to end the connection."""

    def __init__(self, record, name, cell, behave, port=0):
        self.record = record
        self.name = name
        self.cell = cell
        self.behave = behave
        self.calls = []
        self.calls_lock = threading.Lock()
        super().__init__(port)

    def handle(self, connection, line, headers, body):
        if line.startswith("POST /events/bundle "):
            messages = bundle_messages(body)
        else:
            messages = [(headers.get("x-call-id", "?"), "-", body)]
        call = {
            "at": time.monotonic(), "ids": [m[0] for m in messages], "bodies": [m[2] for m in messages],
            "bundle": "/bundle " in line, "connection": connection, "headers": headers,
        }
        with self.calls_lock:
            self.calls.append(call)
        self.record.line(self.name, f"call with {' '.join(call['ids'])}")
        return self.behave(self, call)

    def ok(self, call):
        """Runs the call and answers that it was delivered."""
        body = b""
        if call["bundle"]:
            body = "".join(f"{name} accepted\r\n" for name in call["ids"]).encode()
        call["delivered_at"] = time.monotonic()
        answer(call["connection"], "200 OK", body=body)
        self.record.line(self.name, f"answered 200 to {' '.join(call['ids'])}")

    def entry(self, state="Ready", kind="partner", zone="a", weight=100.0):
        return {"instanceId": self.name, "hostPort": self.address, "zone": zone, "machineType": kind,
                "cell": self.cell, "lifecycle": state, "weight": weight, "startedAtMs": 0}

    def calls_of(self, name):
        with self.calls_lock:
            return [call for call in self.calls if name in call["ids"]]


class Platform(Server):
    """Discovery and the receiver of notices."""

    def __init__(self, record, port=0):
        self.record = record
        self.notices = []
        self.changes = []  # (generation, entries)
        self.generation = 0
        self.current = {}
        self.changed = threading.Condition()
        self.heartbeat_s = 2.0
        super().__init__(port)

    def publish(self, entries):
        """Publishes a change; an entry with the lifecycle Gone leaves the list."""
        with self.changed:
            self.generation += 1
            self.changes.append((self.generation, entries))
            for entry in entries:
                if entry["lifecycle"] == "Gone":
                    self.current.pop(entry["instanceId"], None)
                else:
                    self.current[entry["instanceId"]] = entry
            self.record.line("discovery", f"generation {self.generation}: " + ", ".join(
                f"{e['instanceId']} cell {e['cell']} {e['hostPort']} {e['lifecycle']}" for e in entries))
            self.changed.notify_all()

    def known(self):
        """The whole list, as it stands in a configuration."""
        with self.changed:
            return {"generation": self.generation, "reset": True, "instances": list(self.current.values())}

    def handle(self, connection, line, headers, body):
        if line.startswith("POST /v2/finals "):
            for text in body.decode().splitlines():
                notice = json.loads(text)
                self.notices.append({"at": time.monotonic(), **notice})
                self.record.line("platform", f"notice {text}")
            connection.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if "stream=1" in line:
            index = int(re.search(r"index=(\d+)", line).group(1))
            self.watch(connection, index)
            return False
        answer(connection, "200 OK", body=json.dumps(self.known()).encode())
        return True

    def watch(self, connection, index):
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.record.line("discovery", f"watch opened after generation {index}")
        first = True
        while True:
            with self.changed:
                if not first and self.generation == index:
                    self.changed.wait(self.heartbeat_s)
                if first and index > self.generation:
                    index = 0
                new = [entries for generation, entries in self.changes if generation > index]
                generation = self.generation
            if first or new:
                merged = {}
                for entries in new:
                    for entry in entries:
                        merged[entry["instanceId"]] = entry
                part = {"generation": generation, "reset": False, "instances": list(merged.values())}
                text = json.dumps(part) + "\n"
            else:
                text = "\n"
            connection.sendall(f"{len(text):x}\r\n{text}\r\n".encode())
            if first or new:
                self.record.line("discovery", f"told generation {generation} with {len(new)} change(s)")
            index, first = generation, False

    def notices_of(self, name):
        return [notice for notice in list(self.notices) if notice["id"] == name]


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1)


class Forwarder:
    """A forwarder process, started as the deploy file says, with a state folder that lasts."""

    def __init__(self, record, platform, settings, name="n0", limits=None, folder=None):
        self.record = record
        self.platform = platform
        self.name = name
        self.settings = settings
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.folder = folder or tempfile.mkdtemp(prefix="review-")
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state, exist_ok=True)
        self.port = free_port()
        self.process = None
        self.starts = 0
        FORWARDERS.append(self)

    def write_config(self, known, discovery=None):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}",
                  "discovery": discovery or self.platform.address, "seed": f"{0x8c1f30d27a5be964 + self.starts:016x}",
                  "limits": self.limits, "known": known, "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    def start(self, known, wait=True):
        self.starts += 1
        config = self.write_config(known)
        env = {**os.environ, "EDGE_NAME": self.name, "EDGE_LISTEN": f"127.0.0.1:{self.port}",
               "EDGE_DISCOVERY": self.platform.address, "EDGE_STATE": self.state, "EDGE_CONFIG": config}
        self.log = open(os.path.join(self.folder, f"log.{self.starts}"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.line(self.name, f"started (start {self.starts}), process {self.process.pid}")
        if wait:
            self.wait_ready()

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError(f"forwarder ended with {self.process.returncode}")
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as s:
                    s.sendall(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                    s.settimeout(1)
                    if s.recv(4096).startswith(b"HTTP/1.1 200"):
                        self.record.line(self.name, "ready")
                        return
            except OSError:
                pass
            time.sleep(0.005)
        raise RuntimeError("forwarder not ready")

    def signal(self, number):
        self.record.line(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def submission(name, category, budget, dest, body=b"x", extra=()):
    head = [f"POST /api HTTP/1.1", "Host: api.internal", f"X-Call-Id: {name}", f"X-Call-Class: {category}",
            f"X-Budget: {budget:.3f}", f"X-Route-To: dest={dest}", f"Content-Length: {len(body)}", *extra]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def read_status(sock, timeout):
    """Reads one answer. Returns its status, "closed" at an end without an answer, "reset" or "timeout"."""
    sock.settimeout(timeout)
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            part = sock.recv(4096)
            if not part:
                return "closed"
            data += part
    except socket.timeout:
        return "timeout"
    except OSError:
        return "reset"
    return int(data.split(b" ", 2)[1])


def submit(record, forwarder, name, category, budget, dest, body=b"x", extra=(), timeout=0.4):
    """Hands in one message on a new connection, and waits for the answer for as long as clients do."""
    with socket.create_connection(("127.0.0.1", forwarder.port), timeout) as s:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        s.sendall(submission(name, category, budget, dest, body, extra))
        status = read_status(s, timeout)
    record.line("client", f"{name} {category} dest={dest} budget={budget}: {status}")
    return status


def settings(classes, kinds=(("partner", False, 1),), **changes):
    """Settings like those of a small deployment. `classes` are (name, effect, extra keys)."""
    made = {
        "areas": ["a"], "az": "a", "balancers": 1,
        "classes": [{"name": name, "effect": effect, "onTimeUs": 2000000, "giveUpUs": 20000000, "importance": 1.0,
                     "lateWorth": 0.4, "streaming": False, "windowUs": 5000000, "dedupScope": "all", **extra}
                    for name, effect, extra in classes],
        "clients": {"marksRetry": False}, "discovery": "automatic", "domainType": "deliver",
        "familyInfo": {"batchByKind": [k[2] for k in kinds], "kindApart": [k[1] for k in kinds],
                       "decay": "linear", "maxCalls": 16, "refusalCost": 0.05, "zoneFee": [0.0]},
        "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
        "guarantees": {"answerSlackUs": 20000, "coldFrom": 0.18, "drainGraceUs": 2000000, "fallMultiple": 2.0,
                       "mustAskInUs": 10000000, "tipAfterUs": 3000000, "warmWithinUs": 10000000},
        "kinds": [k[0] for k in kinds], "me": 0, "overShareWorth": 0.1,
        "policyLimits": {"attemptsCap": 12, "cancelling": True, "connIdleUs": 5000000, "connectTimeoutUs": 1000000,
                         "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "maxRetryAfterUs": 2000000, "maxStreams": 1,
                         "mayDuplicate": True, "openCap": 400, "peers": False, "probes": False, "retryAfter": True},
        "realms": [], "report": {"fields": [], "how": "silent"}, "stages": ["partner-tier"],
        "tariffs": {"connection": 0.0, "crossZone": 0.03, "handshake": 0.02, "lateFail": 0.04, "waste": 0.044},
        "tickUs": 5000, "tier": 0, "weights": "rough", "worthBy": "request",
    }
    for path, value in changes.items():
        part = made
        *parents, last = path.split("__")
        for parent in parents:
            part = part[parent]
        part[last] = value
    return made


def trouble():
    """Whether the disruption is played (the default), or left out (TROUBLE=0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, folder, limit_s=110):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `case(record)` returns the breaks of the rule, as lines of text.
    """
    record = Record(os.path.join(folder, "record.txt"))
    record.line("case", "with the disruption" if trouble() else "without the disruption (TROUBLE=0)")
    if not os.access(os.path.join(ROOT, "target", "release", "reeddock"), os.X_OK):
        record.line("case", "could not run: target/release/reeddock is missing, build first")
        os._exit(2)

    def too_long(*_):
        raise RuntimeError(f"longer than {limit_s} s")

    signal.signal(signal.SIGALRM, too_long)
    signal.alarm(limit_s)
    try:
        breaks = case(record)
        code = 1 if breaks else 0
        for text in breaks:
            record.line("BROKEN", text)
        record.line("case", f"{len(breaks)} break(s) of the rule" if breaks else "the rule held")
    except Exception as error:  # Whatever went wrong with the test itself is no verdict.
        record.line("case", f"could not run: {type(error).__name__}: {error}")
        code = 2
    signal.alarm(0)
    end_all()
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    os._exit(code)


FORWARDERS = []


def end_all():
    """Ends all forwarders that the test started, and removes their folders."""
    for forwarder in FORWARDERS:
        forwarder.end()
        shutil.rmtree(forwarder.folder, ignore_errors=True)


class DelayProxy:
    """Stands between the forwarder and a target, and passes all bytes on after a fixed time each way, in order."""

    def __init__(self, record, name, port, delay_s):
        self.record = record
        self.name = name
        self.target_port = port
        self.delay_s = delay_s
        self.socket = listen()
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            inner, _ = self.socket.accept()
            outer = socket.create_connection(("127.0.0.1", self.target_port))
            for connection in (inner, outer):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pass_on(inner, outer, True)
            self._pass_on(outer, inner, False)

    def _pass_on(self, source, sink, from_forwarder):
        pieces = queue.SimpleQueue()

        def read():
            data = b"-"
            while data:
                try:
                    data = source.recv(65536)
                except OSError:
                    data = b""
                pieces.put((time.monotonic() + self.delay_s, data))
                for name in re.findall(rb"(?i)x-call-id: (\S+)", data) if from_forwarder else ():
                    self.record.line(self.name, f"the forwarder has written {name.decode()}")

        def write():
            while True:
                due, data = pieces.get()
                time.sleep(max(0.0, due - time.monotonic()))
                try:
                    if not data:
                        sink.shutdown(socket.SHUT_WR)
                        return
                    sink.sendall(data)
                except OSError:
                    return

        threading.Thread(target=read, daemon=True).start()
        threading.Thread(target=write, daemon=True).start()
