"""Stand-ins for the scripts of the review: the platform, which starts and
signals the programs of deploy/system.toml; clients; operators; and workers
that follow PROTOCOL.md.  Only the Python standard library is used, and only
loopback addresses."""
import atexit
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "svc"
HOST = "jobs.example"
PREFIX = "/q/"
KEY = "key-of-tenant-1"
T0 = time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - T0:9.3f} {text}\n")
            self.file.flush()


def request(record, who, address, method, path, body=None, headers=None,
            timeout=3.0, quiet=False):
    """One request on a connection of its own.  Returns (status, text), with
    status None if there was no whole answer within the timeout."""
    host, port = address.rsplit(":", 1)
    text = "" if body is None else (
        body if isinstance(body, str) else json.dumps(body))
    lines = [f"{method} {path} HTTP/1.1"]
    headers = {"Host": address, "Content-Type": "application/json",
               "Content-Length": str(len(text.encode())), **(headers or {})}
    lines += [f"{k}: {v}" for k, v in headers.items()]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + text.encode()
    end = time.monotonic() + timeout
    got = b""
    status, answer = None, ""
    if not quiet:
        record(f"{who} -> {address} {method} {path} {text[:300]}")
    try:
        with socket.create_connection((host, int(port)), timeout) as s:
            s.sendall(data)
            while True:
                left = end - time.monotonic()
                if left <= 0:
                    break
                s.settimeout(left)
                part = s.recv(65536)
                if not part:
                    break
                got += part
                head, sep, rest = got.partition(b"\r\n\r\n")
                if not sep:
                    continue
                length = 0
                for line in head.decode("latin-1").split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                if len(rest) >= length:
                    status = int(head.split(b" ", 2)[1])
                    answer = rest[:length].decode("utf-8", "replace")
                    break
    except OSError as error:
        answer = type(error).__name__
    if not quiet:
        record(f"{who} <- {address} {method} {path}: "
               f"{status if status else 'no answer'} {answer[:300]}")
    return status, answer


class Process:
    def __init__(self, cluster, kind, index):
        self.cluster = cluster
        self.kind = kind
        self.index = index
        self.zone = ZONES[index % len(ZONES)]
        self.ip = cluster.ip((1 if kind == "core" else 51) + index)
        self.name = f"{kind}-{index + 1}"
        self.folder = os.path.join(cluster.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.link_port = cluster.link_port
        if cluster.has_cuts:
            self.link_port += 100 * (index + 1 if kind == "core" else 0)
        self.control = f"{self.ip}:{cluster.control_port}"
        self.frontend = f"{self.ip}:{cluster.frontend_port}"
        self.readiness = f"{self.ip}:{cluster.readiness_port}"
        self.popen = None
        self.started = False

    def settings(self):
        c = self.cluster
        core = self.kind == "core"
        lines = [f'node-name: "{self.name}"',
                 f'role: "{"control" if core else "entry"}"',
                 f'machine-class: "{self.kind}"', "serves:",
                 f'  - "{"control_plane" if core else "edge"}"',
                 f'ip: "{self.ip}"', f'zone: "{self.zone}"',
                 'region: "region"', "zones:"]
        lines += [f'  {z}: "region"' for z in ZONES]
        lines.append("bind-addrs:")
        if core:
            lines.append(f'  control: "{self.control}"')
        else:
            lines += [f'  frontend: "{self.frontend}"',
                      f'  readiness: "{self.readiness}"']
        lines += ["internal-ports:", f"  - {self.link_port}",
                  f"  - {self.link_port + 15}", "seeds:"]
        lines += [f'  - "{c.ip(1 + i)}:{c.control_port}"' for i in range(3)]
        lines += [f"bootstrap: {'false' if self.started else 'true'}",
                  f"is-counted: {'true' if core else 'false'}",
                  "limits:", "  cpu-share: 0.5", "  cores: 1",
                  "  memory-mb: 256", "  max-fds: 4096",
                  f"data-dir: {json.dumps(self.data) if core else 'null'}",
                  "heartbeat-ms: 1500", "fault-tolerance:", "  machines: 1",
                  "  zones: 1", "  regions: 0", "bounds:"]
        lines += [f"  {k}: {v}" for k, v in c.bounds.items()]
        lines += ['config_mode: "highest"', 'commands: "request"']
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.folder, "node.yaml")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        self.started = True
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["MIMOSAWIND_NODE_FILE"] = path
        log = open(os.path.join(self.folder, "log"), "ab")
        self.popen = subprocess.Popen(
            self.cluster.commands[self.kind], cwd=ROOT, env=env, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.cluster.record(f"platform: {self.name} started, pid "
                            f"{self.popen.pid}")

    def signal(self, number):
        if self.popen and self.popen.poll() is None:
            self.cluster.record(f"platform: {signal.Signals(number).name} to "
                                f"{self.name}")
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self):
        self.signal(signal.SIGSTOP)

    def cont(self):
        self.signal(signal.SIGCONT)

    def log_lines(self, word):
        with open(os.path.join(self.folder, "log"), encoding="utf-8",
                  errors="replace") as f:
            return [line.rstrip() for line in f if word in line]


class Cut:
    """Stands between the core processes, and cuts one off from the others:
    silent while it lasts, as a partition is, what was sent arrives after it.
    Each process dials its peers at the first of its own internal ports, so
    each has another one, and a listener here in the place of each peer."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.cut_off = None
        for dialler in cluster.cores + cluster.edges[:1]:
            for peer in cluster.cores:
                if peer is not dialler:
                    self.listen(dialler, peer)

    def is_held(self, dialler, peer):
        return (self.cut_off in (dialler, peer) and
                dialler.kind == peer.kind == "core")

    def listen(self, dialler, peer):
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((peer.ip, dialler.link_port))
        server.listen(64)

        def accept():
            while True:
                near, _ = server.accept()
                threading.Thread(target=self.connect,
                                 args=(near, dialler, peer),
                                 daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()

    def connect(self, near, dialler, peer):
        try:
            far = socket.create_connection((peer.ip, peer.link_port), 2)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for s in (near, far):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for a, b in ((near, far), (far, near)):
            threading.Thread(target=self.pump, args=(a, b, dialler, peer),
                             daemon=True).start()

    def pump(self, a, b, dialler, peer):
        try:
            while True:
                data = a.recv(65536)
                while self.is_held(dialler, peer):
                    time.sleep(0.002)
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def begin(self, process):
        self.cluster.record(f"network: {process.name} is cut off from the "
                            "other core machines")
        self.cut_off = process

    def end(self):
        self.cluster.record("network: the cut has healed")
        self.cut_off = None


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Cluster:
    """The platform's part: three core and some edge machines."""

    def __init__(self, record, edges=1, cores=3, has_cuts=False):
        self.record = record
        self.has_cuts = has_cuts
        self.folder = tempfile.mkdtemp(prefix="mw-review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.control_port = free_port(self.ip(1))
        self.frontend_port = free_port(self.ip(51))
        self.readiness_port = free_port(self.ip(51))
        self.link_port = random.randint(20000, 29000)
        self.bounds = {
            "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4,
            "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000,
            "evacuation-ms": 5000, "recovery-s": 12, "hold-max-ms": 10000,
            "stop-timeout-ms": 900, "gang-timeout-ms": 3000,
            "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14,
            "status_s": 120, "lease-ms": 3000}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"].values()
        self.commands = {r["on"]: r["run"].split() for r in roles}
        self.cores = [Process(self, "core", i) for i in range(cores)]
        self.edges = [Process(self, "edge", i) for i in range(edges)]
        self.workers = []
        self.cut = Cut(self) if has_cuts else None
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(2))

    def ip(self, host):
        return f"{self.net}.{host}"

    def start(self, config=None):
        """Starts all processes, puts the first configuration in force and
        waits until the edge processes are ready; False if they are not."""
        for p in self.cores + self.edges:
            p.start()
        end = time.monotonic() + 20
        config = config or make_config(1)
        done = False
        while time.monotonic() < end and not done:
            done = self.operator("PUT", "/mimosawind/config", config,
                                 quiet=True)[0] == 200
            time.sleep(0.2)
        while time.monotonic() < end and not all(
                self.is_ready(e) for e in self.edges):
            time.sleep(0.05)
        ok = done and all(self.is_ready(e) for e in self.edges)
        self.record(f"cluster {'ready' if ok else 'NOT ready'}")
        return ok

    def is_ready(self, edge):
        return request(self.record, "platform", edge.readiness, "GET",
                       "/mimosawind/readyz", timeout=1, quiet=True)[0] == 200

    def operator(self, method, path, body=None, core=None, quiet=False,
                 timeout=1.0):
        """One call; without a core, to each in turn until one answers."""
        result = (None, "")
        for c in [core] if core else self.cores:
            result = request(self.record, "operator", c.control, method, path,
                             body, timeout=timeout, quiet=quiet)
            if result[0] and result[0] < 500:
                break
        return result

    def client(self, edge, method, path, body=None, key=KEY, timeout=3.0,
               who="client"):
        return request(self.record, who, edge.frontend, method, path, body,
                       {"Host": HOST, "X-Credential": key,
                        "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)

    def leader(self):
        """The core process that leads, by the events "lead" of the logs."""
        best, newest = None, -1
        for core in self.cores:
            last = None
            for line in core.log_lines('"event":"lead"'):
                try:
                    last = json.loads(line)
                except ValueError:
                    pass
            if last and last["outcome"] == "gained" and last["term"] > newest:
                best, newest = core, last["term"]
        return best

    def end(self):
        for w in self.workers:
            w.end()
        for p in self.cores + self.edges:
            if p.popen and p.popen.poll() is None:
                p.popen.kill()
                p.popen.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def make_config(version, **more):
    return {"version": version,
            "routes": [{"name": "queue", "host": HOST, "path-prefix": PREFIX,
                        "kind": "non_idempotent", "timeout-ms": 3000,
                        "target-latency-ms": 1000, "priority": 1,
                        "service": SERVICE, "max-attempts": 4,
                        "slack-factor": 3.0, "public": False}],
            "services": [{"name": SERVICE, "health-path": "/healthz",
                          "max-conns": 64, "protocol": "h1", "tls": False,
                          "cold-start-s": 0.0, "cold-per-s": 0.0,
                          "enforce-capacity": False, "standby": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-1", "api-keys": [KEY],
                         "priority": 1, "guaranteed": {"gpus": 0}}],
            **more}


def job_id():
    return f"{random.getrandbits(64):016x}"


def job(work_ms, count=1, cpu=1000, **step):
    """A job of one step; the stand-in's work is told by the spec."""
    return {"spec": f"work-ms={work_ms}",
            "phases": [{"count": count, "cpu": cpu, "mem-mb": 256,
                        "estimate-ms": work_ms, **step}]}


class Worker:
    """A worker: one process in the platform's eyes, threads here.  Its steady
    clock starts with each incarnation."""

    def __init__(self, cluster, index, zone=None, cpu=16000, gpus=8,
                 beat_s=1.5, kind="a"):
        self.cluster = cluster
        self.record = cluster.record
        self.id = f"i-{index:08x}"
        self.index = index
        self.zone = zone or ZONES[index % len(ZONES)]
        self.ip = cluster.ip(101 + index)
        self.address = f"{self.ip}:{free_port(self.ip)}"
        self.cpu, self.gpus, self.beat_s = cpu, gpus, beat_s
        self.kind = kind
        self.lock = threading.Condition()
        self.ended = False
        self.state = "ready"
        self.down = False
        # its own reports are lost on their way
        self.silent = False
        self.crashes = 0
        self.channels = set()
        self.beat_to = None
        self.begin()
        cluster.workers.append(self)
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                worker.channels.add(self.connection)

            def finish(self):
                worker.channels.discard(self.connection)
                super().finish()

            def do_POST(self):
                size = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(size) or b"{}")
                if self.headers.get("X-Expected-Instance") != worker.id:
                    status, answer = 421, {}
                else:
                    status, answer = worker.order(self.path, body)
                if status is None or worker.down:
                    self.close_connection = True
                    return
                text = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        def listen():
            host, port = self.address.rsplit(":", 1)
            self.server = Server((host, int(port)), Handler)
            threading.Thread(target=self.server.serve_forever,
                             kwargs={"poll_interval": 0.02},
                             daemon=True).start()

        self.listen = listen
        self.listen()
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic() - 100
        self.seq = 0
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.highest = {}
        self.acked = 0

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    def heartbeat(self):
        self.seq += 1
        return {"service": SERVICE, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold-left-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 65536,
                             "gpus": self.gpus},
                "labels": [self.kind, f"r1-{self.index // 8}"],
                "clock-ms": self.clock(), "born": self.born, "seq": self.seq}

    def beat(self):
        at = self.index
        while not self.ended:
            if self.down or self.silent:
                time.sleep(0.05)
                continue
            with self.lock:
                text = json.dumps(self.heartbeat())
            for _ in range(3):
                to = self.beat_to or self.cluster.cores[
                    at % len(self.cluster.cores)].control
                status, answer = request(
                    self.record, self.id, to, "PUT",
                    f"/mimosawind/instances/{self.id}", text, timeout=1,
                    quiet=True)
                if status and 200 <= status < 300:
                    self.beat_to = json.loads(answer or "{}").get(
                        "heartbeat-addr", self.beat_to)
                    break
                self.beat_to = None
                at += 1
            time.sleep(self.beat_s)

    def crash(self, back_s, same_id=False):
        """The worker's process ends without a word, and comes back after
        back_s: it holds and knows nothing of before."""
        with self.lock:
            if self.down or self.ended:
                return
            self.down = True
            self.crashes += 1
            self.record(f"worker {self.id} ({self.zone}): CRASHES with "
                        f"{sorted(self.running)}")
            self.running.clear()
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

        def back():
            time.sleep(back_s)
            with self.lock:
                if self.ended:
                    return
                if not same_id:
                    self.id = f"i-{0x1000 + self.index:04x}{self.crashes:04x}"
                self.begin()
                self.listen()
                self.down = False
            self.record(f"worker {self.id} ({self.zone}): back, born "
                        f"{self.born}")

        threading.Thread(target=back, daemon=True).start()

    def finish(self, key, how):
        run = self.running.pop(key)
        self.last_end += 1
        self.finished.append([self.last_end, key[0], key[1], how, ""])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.record(f"worker {self.id} ({self.zone}): task {key[0]} run "
                    f"{key[1]} ended {how}")
        del run
        self.lock.notify_all()

    def work(self):
        while not self.ended:
            with self.lock:
                now = self.clock()
                if self.running and now >= self.deadline:
                    for key in list(self.running):
                        self.finish(key, "lapsed")
                for key, run in list(self.running.items()):
                    if now >= run["until"]:
                        self.finish(key, "done")
            time.sleep(0.01)

    def lists(self):
        now = self.clock()
        return {"clock-ms": now, "born": self.born,
                "running": [[k[0], k[1], "", min(100, int(
                    100 * (now - r["from"]) / max(1, r["until"] - r["from"])))]
                    for k, r in self.running.items()],
                "finished": self.finished[:500]}

    def refusal(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def order(self, path, body):
        with self.lock:
            self.orders = getattr(self, "orders", 0) + 1
            if self.down:
                return None, None
            fence = body.get("fencing-token", 0)
            if fence < self.fence:
                return self.refusal("fence")
            self.fence = fence
            longest = self.clock() + 10000
            lease = min(body.get("deadline-ms", 0), longest)
            if path == "/mimosawind/hold":
                self.deadline = max(self.deadline, lease)
                cursor = body.get("ack-cursor", 0)
                self.acked = max(self.acked, cursor)
                self.finished = [f for f in self.finished if f[0] > cursor]
                until = time.monotonic() + min(body.get("wait-ms", 0),
                                               2000) / 1000
                last = self.last_end
                while (time.monotonic() < until and last == self.last_end and
                       not self.ended and not self.down):
                    self.lock.wait(max(0, until - time.monotonic()))
                return 200, self.lists()
            task, run = body["task-id"], body["attempt"]
            key = (task, run)
            if path == "/mimosawind/run-stop":
                self.highest[task] = max(self.highest.get(task, 0), run)
                if key in self.running:
                    self.finish(key, "stopped")
                return 200, {"clock-ms": self.clock()}
            if key in self.running:
                return 200, {"clock-ms": self.clock()}
            if run <= self.highest.get(task, 0):
                self.deadline = max(self.deadline, lease)
                return self.refusal("old")
            if body.get("deadline-ms", 0) <= self.clock():
                return self.refusal("late")
            self.deadline = max(self.deadline, lease)
            work_ms = int(body["spec"].partition("work-ms=")[2].split()[0])
            if "deadly-ms=" in body["spec"]:
                deadly_ms = int(body["spec"].partition("deadly-ms=")[2])
                threading.Timer(deadly_ms / 1000, self.crash, (4,)).start()
            now = self.clock()
            self.running[key] = {"from": now, "until": now + work_ms}
            self.on_start(task, run)
            return 200, {"clock-ms": now}

    def on_start(self, task, run):
        self.record(f"worker {self.id} ({self.zone}): task {task} run {run} "
                    "started")
        self.starts = getattr(self, "starts", [])
        self.starts.append((time.monotonic(), task, run))

    def end(self):
        if not self.ended:
            self.ended = True
            if not self.down:
                self.server.shutdown()
                self.server.server_close()
