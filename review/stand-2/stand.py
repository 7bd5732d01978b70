"""Stand-ins of the second review: discovery, partners' endpoints, clients and the relay as a process.

They keep to PROTOCOL and DEPLOY. Everything is on loopback addresses, each listener on a free port.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BEGAN = time.monotonic()


def now():
    return time.monotonic() - BEGAN


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run: a line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


def listen(host="127.0.0.1", backlog=128):
    out = socket.socket()
    out.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    out.bind((host, 0))
    out.listen(backlog)
    return out


def address(listener):
    host, port = listener.getsockname()
    return f"{host}:{port}"


def free_address(host="127.0.0.1"):
    one = listen(host)
    out = address(one)
    one.close()
    return out


class Stream:
    """A socket that is read by lines and counts."""

    def __init__(self, sock):
        self.sock = sock
        self.held = b""

    def fill(self):
        got = self.sock.recv(65536)
        if not got:
            raise EOFError
        self.held += got

    def line(self):
        while b"\r\n" not in self.held:
            self.fill()
        out, self.held = self.held.split(b"\r\n", 1)
        return out.decode("latin-1")

    def exactly(self, count):
        while len(self.held) < count:
            self.fill()
        out, self.held = self.held[:count], self.held[count:]
        return out

    def request(self):
        """An HTTP request: first line, headers with names in lower case, body."""
        first = self.line()
        headers = {}
        while line := self.line():
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return first, headers, self.exactly(int(headers.get("content-length", "0")))


class Server:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self, record, host="127.0.0.1"):
        self.record = record
        self.listener = listen(host)
        self.address = address(self.listener)
        self.open = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(sock)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock)
        except (OSError, EOFError, ValueError):
            pass
        with self.lock:
            self.open.discard(sock)
        sock.close()

    def close(self):
        """New connections are refused from now on, open ones stay."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def end(self):
        self.close()
        with self.lock:
            for sock in self.open:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Discovery(Server):
    """The agent: one whole list to each watch, an empty line every 2 s, and 204 to notices at once."""

    def __init__(self, record, members, revision=41, name="discovery"):
        self.members, self.revision, self.name = members, revision, name
        self.notices = {}  # id: [(when, state)]
        self.changed = threading.Condition()
        super().__init__(record)

    def text(self, complete=True, members=None):
        return json.dumps({"revision": self.revision, "complete": complete,
                           "members": self.members if members is None else members}) + "\n"

    def tell(self, members):
        """A new whole list, to the watches that are open and those to come."""
        with self.changed:
            self.members, self.revision = members, self.revision + 1
            self.changed.notify_all()

    def serve(self, sock):
        stream = Stream(sock)
        while True:
            first, _, body = stream.request()
            if first.startswith("POST /v2/finals"):
                for line in body.decode().splitlines():
                    notice = json.loads(line)
                    self.record.say(f"{self.name}: notice {line}")
                    self.notices.setdefault(notice["id"], []).append((now(), notice["state"]))
                sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            elif "stream=1" in first:
                self.record.say(f"{self.name}: watch {first}")
                self.watch(sock)
            else:
                text = self.text().encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def watch(self, sock):
        def chunk(text):
            sock.sendall(b"%x\r\n" % len(text) + text.encode() + b"\r\n")

        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = None
        while True:
            with self.changed:
                if told == self.revision:
                    self.changed.wait(2)
                fresh = told != self.revision
                text, told = (self.text() if fresh else "\n"), self.revision
            chunk(text)


class Endpoint(Server):
    """A partner's endpoint. `answer(call)` gives the bytes to write back, or None for silence."""

    def __init__(self, record, name, answer=None, host="127.0.0.1"):
        self.name = name
        self.answer = answer or (lambda call: OK)
        self.calls = []  # (when, id, headers, body)
        super().__init__(record, host)

    def serve(self, sock):
        stream = Stream(sock)
        while True:
            first, headers, body = stream.request()
            call = {"at": now(), "first": first, "id": headers.get("x-call-id", ""), "headers": headers,
                    "body": body, "sock": sock}
            self.calls.append(call)
            self.record.say(f"{self.name}: call {call['id']} of {len(body)} bytes")
            said = self.answer(call)
            if said is None:
                while stream.sock.recv(65536):
                    pass
                return
            sock.sendall(said)
            self.record.say(f"{self.name}: answered {call['id']} {said[9:12].decode('latin-1')}")

    def ran(self, message):
        return [c for c in self.calls if c["id"] == message]


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def member(name, at, cell, phase="active", kind="agent"):
    return {"id": name, "host_port": at, "locality": "lj-dc1", "flavor": kind, "cell": cell, "phase": phase,
            "size": 50.0, "up_since_ms": 0}


def settings(**more):
    out = {
        "realms": [{"name": "acme", "quota_per_s": 100}],
        "azs": ["lj-dc1"], "kinds": ["agent"], "siblings": 3, "weights": "nominal", "resolution_s": 0.005,
        "categories": [
            {"name": "session-record", "semantics": "keyed", "key_scope": "all", "key_ttl_s": 15.0,
             "target_s": 4.0, "give_up_s": 28.0, "worth": 1.0, "late_worth": 0.5},
            {"name": "session-status", "semantics": "safe", "target_s": 1.0, "give_up_s": 5.0, "worth": 3.0,
             "late_worth": 0.1}],
        "family_info": {"calls_out": 16, "kind_apart": [False], "kind_batch": [1], "late": "halves"},
        "bounds": {"open_cap": 200, "max_attempts": 8, "streams_per_conn": 1, "may_probe": False,
                   "peers": False, "cancel": True, "retry_after": True, "max_retry_after_s": 3.0,
                   "conn_idle_s": 5.0, "connect_timeout_s": 1.0},
        "obligations": {"stop_sending_within_s": 2.0, "cold_s": 13.0, "fall_s": 1.5, "fall_multiple": 1.5,
                        "start_capacity": 0.23}}
    out.update(more)
    return out


class Relay:
    """The project's program, started by `run` of the deploy file."""

    def __init__(self, record, work, name, discovery, members, **more):
        self.record, self.name = record, name
        self.state = os.path.join(work, name + ".state")
        self.path = os.path.join(work, name + ".json")
        self.log = os.path.join(work, name + ".log")
        os.makedirs(self.state)
        self.config = {
            "name": name, "listen": free_address(), "operator": free_address(), "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"revision": 41, "complete": True, "members": members}, "settings": settings()}
        self.config.update(more)
        self.process = None
        self.write()

    def write(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self, wait=True):
        self.process = self.spawn(self.config["operator"])
        if wait:
            self.ready()

    def spawn(self, operator, inherited=None):
        """A process of this relay. `inherited`: the descriptor of the clients' socket that the platform holds."""
        run = "exec build/umberhoist"
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            for line in file:
                if line.startswith("run ="):
                    run = line.split('"')[1]
        env = dict(os.environ, PROXY_NAME=self.name, PROXY_LISTEN=self.config["listen"], PROXY_OPERATOR=operator,
                   PROXY_DISCOVERY=self.config["discovery"], PROXY_STATE=self.state, PROXY_CONFIG=self.path)
        env.pop("PROXY_INHERITED_FD", None)
        kept = ()
        if inherited is not None:
            env["PROXY_INHERITED_FD"], kept = str(inherited), (inherited,)
        with open(self.log, "ab") as log:
            out = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=kept)
        self.record.say(f"{self.name}: started, process {out.pid}")
        return out

    def ready(self, within=20):
        until = now() + within
        while now() < until:
            try:
                with Client(self.config["listen"], 1) as client:
                    if client.ask("PING") == "+PONG":
                        self.record.say(f"{self.name}: ready")
                        return
            except (OSError, EOFError):
                pass
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.record.say(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def gone(self):
        """How it ended; None: it runs."""
        return self.process.poll()

    def ask(self, call):
        """The reply at the operator's address."""
        host, port = self.config["operator"].split(":")
        with socket.create_connection((host, int(port)), 2) as sock:
            sock.sendall(call.encode() + b"\n")
            out = b""
            while got := sock.recv(65536):
                out += got
        return out.decode()

    def figures(self):
        out = {}
        for line in self.ask("METRICS").splitlines():
            name, _, value = line.rpartition(" ")
            if name:
                out[name] = float(value)
        return out

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    def __init__(self, at, patience=0.4):
        host, port = at.split(":")
        self.sock = socket.create_connection((host, int(port)), 2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(patience)
        self.stream = Stream(self.sock)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.sock.close()

    @staticmethod
    def command(*words):
        out = b"*%d\r\n" % len(words)
        for word in words:
            word = word if isinstance(word, bytes) else word.encode()
            out += b"$%d\r\n" % len(word) + word + b"\r\n"
        return out

    def ask(self, *words):
        self.sock.sendall(self.command(*words))
        return self.answer()

    def answer(self):
        line = self.stream.line()
        if line.startswith("$"):
            return self.stream.exactly(int(line[1:]) + 2)[:-2].decode("utf-8", "replace")
        return line

    def put(self, message, kind, life_ms, dest, body=b"body", key=None, tenant="acme"):
        facts = f"c={kind},t={tenant},d={life_ms},dest={dest}" + (f",k={key}" if key else "")
        return self.ask("MSG.PUT", "0000000000000000", message, facts, body)


class CannotRun(Exception):
    pass


def play(folder, case):
    """Runs case(record, work, started): whether the rule held, and what was seen. The exit status is the review's."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-2-")
    started = []
    status, line = 2, "cannot run"

    def asked_to_end(*_):
        raise CannotRun("it took too long")

    signal.signal(signal.SIGTERM, asked_to_end)
    try:
        held, why = case(record, work, started)
        status, line = (0, "held: " + why) if held else (1, "BROKEN: " + why)
    except Exception as fault:  # also a case's own error: it could not run
        line = f"cannot run: {type(fault).__name__}: {fault}"
    finally:
        for one in started:
            one.end()
        shutil.rmtree(work, ignore_errors=True)
        record.say(line)
        print(line, flush=True)
    os._exit(status)
