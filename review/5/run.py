"""Case 5: while between 45 and 50 of 100 accelerators are in use, a job that
is not urgent isn't started at all."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import (Cluster, KEY, PREFIX, Record, Worker, job,  # noqa
                     job_id, make_config)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, GPUS = 12, 8
WORK_MS = 80 * 1000
FINISH_S = 14
WATCH_S = 20
URGENT = "/urgent/"
record = Record(os.path.join(HERE, "record.txt"))
config = make_config(1)
config["routes"].append({**config["routes"][0], "name": "urgent",
                         "path-prefix": URGENT, "priority": 0})
config["tenants"][0]["guaranteed"] = {"gpus": 16}
cluster = Cluster(record, edges=1)
if not cluster.start(config):
    sys.exit(2)
workers = [Worker(cluster, i, gpus=GPUS, cpu=32000) for i in range(WORKERS)]
time.sleep(3.5)
edge = cluster.edges[0]


def submit(prefix, plan):
    identifier = job_id()
    if cluster.client(edge, "POST", prefix + identifier, plan)[0] != 200:
        cluster.end()
        sys.exit(2)
    return identifier


def starts(identifier):
    return [s for w in workers for s in getattr(w, "starts", [])
            if s[1].startswith(identifier)]


def in_use():
    """Accelerators in use, and workers on which nothing runs."""
    gpus, idle = 0, 0
    for w in workers:
        with w.lock:
            tasks = [k[0].split(".")[0] for k in w.running]
        gpus += sum(need[t] for t in tasks)
        idle += not tasks
    return gpus, idle


need = {}
if TROUBLE:
    # urgent work, within the tenant's guarantee: 2 tasks of 8 accelerators
    need[submit(URGENT, job(WORK_MS, count=2, gpus=8, gang=True))] = 8
    time.sleep(1)
# 30 tasks of one accelerator
need[submit(PREFIX, job(WORK_MS, count=30, gpus=1))] = 1
time.sleep(5)
# and a job of 2 tasks of 8 accelerators
waiting = submit(PREFIX, job(3000, count=2, gpus=8, gang=True))
need[waiting] = 8
time.sleep(FINISH_S)
record("finish_s after the end of the traffic")
end = time.monotonic() + WATCH_S
since, longest, seen = None, 0.0, []
while time.monotonic() < end:
    gpus, idle = in_use()
    # capacity for it twice over, and under half of the capacity in use
    if (not starts(waiting) and idle >= 4 and
            gpus * 2 < WORKERS * GPUS):
        since = since or time.monotonic()
        longest = max(longest, time.monotonic() - since)
    else:
        since = None
    seen.append((gpus, idle))
    time.sleep(0.1)
state = cluster.client(edge, "GET", "/q/" + waiting)
broken = longest > 3 and state[0] == 200 and "completed" not in state[1]
record(f"job {waiting}: {state}, {len(starts(waiting))} starts; accelerators "
       f"in use, of {WORKERS * GPUS}, and idle workers: {sorted(set(seen))}; "
       f"it could run and did not for {longest:.1f} s"
       f"{'; BROKEN' if broken else ''}")
cluster.end()
sys.exit(1 if broken else 0 if starts(waiting) else 2)
