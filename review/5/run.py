"""Case 5: a configuration that removes a route and adds one in its place, at
the same host and prefix, makes the accepted jobs of the queue unknown."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import (Cluster, PREFIX, Record, Worker, job, job_id,  # noqa
                     make_config)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
record = Record(os.path.join(HERE, "record.txt"))
cluster = Cluster(record, edges=2)
if not cluster.start(make_config(1)):
    sys.exit(2)
for i in range(3):
    Worker(cluster, i)
time.sleep(3)
first, second = cluster.edges
identifier = job_id()
accepted = cluster.client(first, "POST", PREFIX + identifier, job(7000))
time.sleep(1)
before = cluster.client(first, "GET", PREFIX + identifier)
changed = make_config(5)
if TROUBLE:
    changed["routes"][0]["name"] = "queue-b"
else:
    changed["routes"][0]["timeout-ms"] = 2900
confirmed = cluster.operator("PUT", "/mimosawind/config", changed)
if accepted[0] != 200 or before[0] != 200 or confirmed[0] != 200:
    cluster.end()
    sys.exit(2)
# later than config-apply-ms and visible-ms
time.sleep(3.5)
states = [cluster.client(e, "GET", PREFIX + identifier)
          for e in (first, second)]
time.sleep(4)
states += [cluster.client(e, "GET", PREFIX + identifier)
           for e in (first, second)]
for worker in cluster.workers:
    with worker.lock:
        record(f"worker {worker.id}: starts "
               f"{[s[1:] for s in getattr(worker, 'starts', [])]}")
broken = all(status == 410 for status, _ in states)
held = all(status == 200 for status, _ in states)
record(f"an accepted job, that nobody has cancelled: {states}"
       f"{'; BROKEN' if broken else ''}")
cluster.end()
sys.exit(1 if broken else 0 if held else 2)
