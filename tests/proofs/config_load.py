"""Large configurations that change quickly, with real processes: what was
acknowledged must be in force 2 s later, and newest and whole after a restart.

config_load.py [--root TREE] [--seed N] [--seconds S] ...: starts the programs
of TREE (built by its deploy file) with the stand-ins of review/lib.  Prints
what was measured and each violation; exit status 1 if there was one.
"""
import argparse
import collections
import hashlib
import json
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "lib"))
import standin  # noqa: E402
from standin import Cluster, Record, make_config, request  # noqa: E402

# bounds of the site: config-apply-ms, contact-ms, recovery-s, the limits of
# a core machine
APPLY_S = 2.0
CONTACT_S = 3.0
RECOVERY_S = 12.0
MEMORY_MB = 256
DISK_MB = 128
READ_PATH = "/mimosawind/config"


def digest(config):
    text = json.dumps(config, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


class Operator:
    """Sends one change after another, and knows which were acknowledged."""

    def __init__(self, load):
        self.load = load
        self.rand = random.Random(load.args.seed)
        self.lock = threading.Lock()
        self.config = make_config(1)
        self.digests = {}
        self.sent = {1: time.monotonic()}
        # (time, version), in order of time
        self.acked = []
        self.highest = 0
        self.slowest_s = 0.0
        self.slow = []
        # route prefix: [(version, present)]
        self.history = collections.defaultdict(list)
        self.in_flight = threading.Semaphore(load.args.overlap)
        self.number = 0
        self.refused = []

    def add_route(self):
        self.number += 1
        prefix = f"/r{self.number}/"
        self.config["routes"].append({
            **self.config["routes"][0], "name": f"route-{self.number}",
            "path-prefix": prefix})
        return prefix

    def change(self):
        """The next version: one route more, one fewer, or a time-out."""
        version = self.config["version"] + self.rand.randint(1, 3)
        self.config["version"] = version
        kind = self.rand.randrange(3)
        routes = self.config["routes"]
        if kind == 0 and len(routes) < self.load.args.routes + 20:
            self.history[self.add_route()].append((version, True))
        elif kind == 1 and len(routes) > self.load.args.routes - 20:
            gone = routes.pop(self.rand.randrange(1, len(routes)))
            self.history[gone["path-prefix"]].append((version, False))
        else:
            route = self.rand.choice(routes[1:])
            route["timeout-ms"] = self.rand.randint(2000, 4000)
        return version, json.dumps(self.config)

    def begin(self):
        for _ in range(self.load.args.routes):
            self.history[self.add_route()].append((2, True))
        self.config["version"] = 2
        self.send(2, json.dumps(self.config))

    def send_next(self):
        with self.lock:
            version, text = self.change()
        self.in_flight.acquire()
        threading.Thread(target=self.send_and_release, args=(version, text),
                         daemon=True).start()

    def send_and_release(self, version, text):
        try:
            self.send(version, text)
        finally:
            self.in_flight.release()

    def send(self, version, text):
        """Again and again, to each core process in turn, until it is
        acknowledged."""
        load = self.load
        with self.lock:
            self.digests[version] = digest(json.loads(text))
            first = self.sent[version] = time.monotonic()
            at = self.rand.randrange(3)
        backoff = 0.05
        timeout = 1.0 + 0.003 * load.args.routes
        while not load.over:
            core = load.cluster.cores[at % 3]
            at += 1
            status, answer = request(load.record, "operator", core.control,
                                     "PUT", READ_PATH, text, timeout=timeout,
                                     quiet=True)
            if status == 200 and load.rand() < load.args.acks_lost:
                time.sleep(1.0)
                status = None
            if status == 200:
                self.note_ack(version, time.monotonic(), first)
                return
            if status and 400 <= status < 500 and status not in (408, 429):
                load.fail(f"version {version} refused: {status} "
                          f"{answer[:200]}")
                return
            time.sleep(backoff)
            backoff = min(0.4, backoff * 2)

    def note_ack(self, version, now, first):
        with self.lock:
            self.highest = max(self.highest, version)
            self.acked.append((now, self.highest))
            self.slowest_s = max(self.slowest_s, now - first)
            if now - first > 4.0:
                self.slow.append((version, round(now - first, 2),
                                  round(now - self.load.t0, 2)))

    def acked_before(self, when):
        """The highest version that was acknowledged before a time."""
        with self.lock:
            for at, version in reversed(self.acked):
                if at <= when:
                    return version
        return 0

    def presence(self, prefix, low):
        """Whether a route is there in all versions from low on; None if they
        differ."""
        state, later = None, set()
        for version, present in self.history[prefix]:
            if version <= low:
                state = present
            else:
                later.add(present)
        if state is None or (later and later != {state}):
            return None
        return state


class Load:
    def __init__(self, args):
        self.args = args
        self.violations = []
        self.lock = threading.Lock()
        self.random = random.Random(args.seed + 1)
        self.record = Record(args.record or os.devnull)
        self.over = False
        self.calm = threading.Event()
        self.reads = collections.Counter()
        self.asked = collections.Counter()
        self.peak_mb = 0.0
        self.t0 = time.monotonic()
        # last trouble of each process
        self.troubled = collections.defaultdict(float)

    def rand(self):
        with self.lock:
            return self.random.random()

    def fail(self, text):
        with self.lock:
            at = time.monotonic() - self.t0
            self.violations.append(f"{at:.2f} {text}")
        self.record(f"VIOLATION {text}")

    def read(self, core, timeout=1.0):
        """A read of the configuration at one core process, checked."""
        sent = time.monotonic()
        least = self.operator.acked_before(sent - APPLY_S)
        status, text = request(self.record, "reader", core.control, "GET",
                               READ_PATH, timeout=timeout, quiet=True)
        self.reads[status] += 1
        if status != 200:
            return None
        config = json.loads(text)
        version = config["version"]
        if version < least:
            self.fail(f"{core.name} read version {version}, {least} was "
                      f"acknowledged {APPLY_S} s before the read was sent")
        known = self.operator.digests.get(version)
        if version > 1 and known != digest(config):
            self.fail(f"{core.name} read version {version}, which is not "
                      "what was sent")
        return version

    def read_often(self):
        while not self.over:
            self.read(self.cluster.cores[int(self.rand() * 3)])
            time.sleep(0.03)

    def ask_often(self):
        """Asks entry processes for routes that were added or removed."""
        while not self.over:
            time.sleep(0.005)
            edges = self.cluster.edges
            edge = edges[int(self.rand() * len(edges))]
            self.ask(edge)

    def ask(self, edge):
        operator = self.operator
        sent = time.monotonic()
        least = operator.acked_before(sent - APPLY_S)
        with operator.lock:
            prefixes = list(operator.history)
        newest = prefixes[-200:] + [
            p for p in prefixes if not operator.history[p][-1][1]][-200:]
        prefix = newest[int(self.rand() * len(newest))]
        present = operator.presence(prefix, least)
        if present is None:
            return
        status, text = request(
            self.record, "client", edge.frontend, "GET",
            prefix + standin.job_id(), None,
            {"Host": standin.HOST, "X-Credential": standin.KEY,
             "X-Deadline-Ms": "1000"}, timeout=1.5, quiet=True)
        self.asked[status] += 1
        if status is None or status >= 500:
            return
        # changes that were sent meanwhile may have been obeyed
        if operator.presence(prefix, least) != present:
            return
        in_touch = all(sent - self.troubled[p.name] > CONTACT_S
                       for p in [edge] + self.cluster.cores)
        if (status != 404) != present:
            text = (f"{edge.name} answered {status} for {prefix}, "
                    f"{operator.history[prefix]}, {least} was acknowledged "
                    f"{APPLY_S} s before")
            if in_touch:
                self.fail(text)
            else:
                self.asked["stale, not in touch"] += 1

    def watch_memory(self):
        while not self.over:
            for p in self.cluster.cores + self.cluster.edges:
                self.peak_mb = max(self.peak_mb, self.memory_mb(p))
            time.sleep(0.05)

    @staticmethod
    def memory_mb(process):
        try:
            with open(f"/proc/{process.popen.pid}/status") as f:
                for line in f:
                    if line.startswith("VmHWM"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0

    def watch_ends(self):
        """A process that ends by itself is a violation, and started again."""
        while not self.over:
            for p in self.cluster.cores + self.cluster.edges:
                if not p.expected_down and p.popen.poll() is not None:
                    self.fail(f"{p.name} ended by itself: "
                              f"{p.popen.returncode}")
                    time.sleep(0.3)
                    p.start()
            time.sleep(0.05)

    def kill(self, process, down_s):
        process.expected_down = True
        self.troubled[process.name] = time.monotonic() + down_s + 0.5
        process.kill()

    def start(self, process):
        process.start()
        process.expected_down = False
        self.troubled[process.name] = time.monotonic()

    def kill_for(self, processes, down_s):
        for p in processes:
            self.kill(p, down_s)
        time.sleep(down_s)
        for p in processes:
            self.start(p)

    def freeze_for(self, processes, for_s):
        for p in processes:
            self.troubled[p.name] = time.monotonic() + for_s
            p.stop()
        time.sleep(for_s)
        for p in processes:
            p.cont()
            self.troubled[p.name] = time.monotonic()

    def cut_for(self, process, for_s):
        for p in self.cluster.cores:
            self.troubled[p.name] = time.monotonic() + for_s
        self.cluster.cut.begin(process)
        time.sleep(for_s)
        self.cluster.cut.end()
        for p in self.cluster.cores:
            self.troubled[p.name] = time.monotonic()

    def lose_disk(self, process):
        """Once all core processes have had the time to catch up."""
        if any(time.monotonic() - self.troubled[p.name] < 5
               for p in self.cluster.cores):
            return
        self.kill(process, 0.5)
        for name in os.listdir(process.data):
            os.unlink(os.path.join(process.data, name))
        time.sleep(0.5)
        self.start(process)
        time.sleep(6)

    def trouble(self, rand):
        """One trouble, drawn from those that were asked for."""
        cluster = self.cluster
        cores = rand.sample(cluster.cores, rand.randint(
            1, self.args.kill_cores))
        kinds = ["kill", "kill", "edge"]
        kinds += ["freeze", "freeze"] if self.args.freeze else []
        kinds += ["cut", "cut"] if self.args.cuts else []
        kinds += ["wipe", "wipe"] if self.args.wipes else []
        kind = rand.choice(kinds)
        if kind == "edge":
            self.kill_for([rand.choice(cluster.edges)], 0.5)
        elif kind == "freeze":
            self.freeze_for(cores, rand.uniform(0.5, 3))
        elif kind == "cut":
            self.cut_for(cores[0], rand.uniform(0.3, 5))
        elif kind == "wipe":
            time.sleep(5)
            self.lose_disk(cores[0])
        else:
            self.kill_for(cores, rand.uniform(0.2, 1.5))

    def kill_often(self):
        rand = random.Random(self.args.seed + 2)
        while not self.over:
            time.sleep(rand.uniform(*self.args.kills))
            if self.over or not self.calm.is_set():
                return
            self.trouble(rand)

    def share_processor(self):
        """A core process runs for half of each tenth of a second, an edge
        process for a quarter."""
        while not self.over:
            all_of = self.cluster.cores + self.cluster.edges
            stopped = []
            for p in all_of:
                if not p.expected_down:
                    p.popen.send_signal(standin.signal.SIGSTOP)
                    stopped.append(p)
            time.sleep(0.05)
            for p in stopped:
                if p.kind == "core":
                    p.popen.send_signal(standin.signal.SIGCONT)
            time.sleep(0.025)
            for p in stopped:
                if p.kind == "edge":
                    p.popen.send_signal(standin.signal.SIGCONT)
            time.sleep(0.025)

    def storm(self):
        args = self.args
        end = time.monotonic() + args.seconds
        while time.monotonic() < end:
            pause = time.monotonic() + 2.0
            while time.monotonic() < min(end, pause):
                self.operator.send_next()
                time.sleep(args.gap)
            if args.pause:
                time.sleep(args.pause)

    def disk_mb(self):
        most = 0.0
        for p in self.cluster.cores:
            size = sum(os.path.getsize(os.path.join(p.data, name))
                       for name in os.listdir(p.data))
            most = max(most, size / 1e6)
        return most

    def restart_all(self):
        """The final fault: everything is killed right after an
        acknowledgement.  Returns when the configuration was first read."""
        all_of = self.cluster.cores + self.cluster.edges
        newest = self.operator.highest
        for p in all_of:
            self.kill(p, self.args.down)
        time.sleep(self.args.down)
        if self.args.upgrade:
            standin.ROOT = os.path.abspath(self.args.upgrade)
        for p in all_of:
            self.start(p)
        back = time.monotonic()
        first = None
        found = 0
        while time.monotonic() < back + RECOVERY_S + 8:
            for core in self.cluster.cores:
                version = self.read(core)
                if version is None:
                    continue
                if first is None:
                    first = time.monotonic() - back
                    if version < newest:
                        self.fail(f"version {version} read after the "
                                  f"restart, {newest} was acknowledged")
                found = max(found, version)
            if first is not None and time.monotonic() > back + 4:
                break
            time.sleep(0.05)
        if first is None or first > RECOVERY_S:
            self.fail("the configuration does not come after the restart: "
                      f"first read {first}")
        return first, newest, found

    def run(self):
        args = self.args
        standin.ROOT = os.path.abspath(args.root)
        self.cluster = Cluster(self.record, edges=args.edges,
                               has_cuts=args.cuts)
        if args.preload:
            for role, words in self.cluster.commands.items():
                self.cluster.commands[role] = [
                    "env", f"LD_PRELOAD={args.preload}", *words]
        for p in self.cluster.cores + self.cluster.edges:
            p.expected_down = False
        self.operator = Operator(self)
        try:
            return self.play()
        finally:
            self.over = True
            time.sleep(0.2)
            for p in self.cluster.cores + self.cluster.edges:
                p.cont()
            self.cluster.end()

    def play(self):
        args = self.args
        if not self.cluster.start():
            print("the cluster did not start")
            return 2
        self.operator.begin()
        self.calm.set()
        tasks = [self.watch_memory, self.watch_ends, self.read_often,
                 self.read_often]
        tasks += [self.ask_often] * 2
        if args.kills:
            tasks.append(self.kill_often)
        if args.share:
            tasks.append(self.share_processor)
        for task in tasks:
            threading.Thread(target=task, daemon=True).start()
        self.storm()
        self.calm.clear()
        # until nothing is in progress, and faults have ended
        time.sleep(6 if args.kills else 0)
        end = time.monotonic() + 15
        for _ in range(args.overlap):
            self.operator.in_flight.acquire(
                timeout=max(0, end - time.monotonic()))
        disk, peak = self.disk_mb(), self.peak_mb
        first, newest, found = self.restart_all()
        operator = self.operator
        print(f"{args.root} seed {args.seed}: {len(operator.acked)} of "
              f"{len(operator.sent)} changes acknowledged, slowest "
              f"{operator.slowest_s:.2f} s, over 4 s: {operator.slow[:8]}; "
              f"disk {disk:.1f} MB, memory {peak:.1f} MB before, "
              f"{self.peak_mb:.1f} MB after the restart; first read "
              f"{first if first is None else round(first, 2)} s after it, "
              f"version {found} of {newest}; reads {dict(self.reads)}; "
              f"asked {dict(self.asked)}")
        if self.peak_mb > MEMORY_MB:
            self.fail(f"memory {self.peak_mb:.1f} MB of {MEMORY_MB}")
        if disk > DISK_MB:
            self.fail(f"disk {disk:.1f} MB of {DISK_MB}")
        for text in self.violations[:20]:
            print("VIOLATION", text)
        print(f"{len(self.violations)} violations", flush=True)
        return 1 if self.violations else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--root", default=os.path.join(HERE, "..", ".."))
    parser.add_argument("--upgrade", metavar="TREE",
                        help="restarts the programs of this tree at the end")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=84)
    parser.add_argument("--routes", type=int, default=700)
    parser.add_argument("--gap", type=float, default=0.08)
    parser.add_argument("--pause", type=float, default=0.33)
    parser.add_argument("--overlap", type=int, default=8)
    parser.add_argument("--edges", type=int, default=9)
    parser.add_argument("--down", type=float, default=0.8)
    parser.add_argument("--acks-lost", type=float, default=0.0)
    parser.add_argument("--kills", type=float, nargs=2)
    parser.add_argument("--kill-cores", type=int, default=3)
    parser.add_argument("--freeze", action="store_true")
    parser.add_argument("--cuts", action="store_true")
    parser.add_argument("--wipes", action="store_true")
    parser.add_argument("--share", action="store_true")
    parser.add_argument("--record")
    parser.add_argument("--preload", help="library for the programs, such as "
                        "one that makes a sync slow")
    return Load(parser.parse_args()).run()


if __name__ == "__main__":
    sys.exit(main())
