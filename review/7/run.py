"""Case 7: a task that crashes each worker a moment after its start is started
on worker after worker."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import Cluster, PREFIX, Record, Worker, job, job_id  # noqa

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WATCH_S = 85
record = Record(os.path.join(HERE, "record.txt"))
cluster = Cluster(record, edges=1)
if not cluster.start():
    sys.exit(2)
workers = [Worker(cluster, i) for i in range(8)]
time.sleep(3)
edge = cluster.edges[0]
identifier = job_id()
plan = job(5000)
if TROUBLE:
    plan["spec"] += " deadly-ms=1000"
cluster.client(edge, "POST", PREFIX + identifier, plan)
end = time.monotonic() + WATCH_S
starts, state = [], (None, "")
while time.monotonic() < end:
    starts = sorted((at, w.address, run) for w in workers
                    for at, task, run in getattr(w, "starts", [])
                    if task.startswith(identifier))
    state = cluster.client(edge, "GET", PREFIX + identifier)
    if len(starts) >= 7 or "completed" in state[1] or "failed" in state[1]:
        break
    time.sleep(1)
crashed = sum(w.crashes for w in workers)
# started three times more after three workers have crashed under it
broken = crashed >= 3 and len(starts) >= 6
record(f"job {identifier}: {len(starts)} starts on "
       f"{[s[1] for s in starts]}, {crashed} crashes; {state}"
       f"{'; BROKEN' if broken else ''}")
cluster.end()
sys.exit(1 if broken else 0 if starts else 2)
