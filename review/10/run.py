"""A new leader starts a task against a capacity that an earlier leader
recorded and that has shrunk long since."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import Cluster, PREFIX, Record, Worker, job, job_id  # noqa

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
record = Record(os.path.join(HERE, "record.txt"))
cluster = Cluster(record, edges=1)
if not cluster.start():
    sys.exit(2)
workers = [Worker(cluster, i, kind="b" if i == 0 else "a") for i in range(4)]
time.sleep(4)
shrinks = workers[0]
shrinks.silent = TROUBLE
shrinks.cpu = 2000
shrunk = time.monotonic()
record(f"worker {shrinks.id}: shrinks to 2000; its reports are lost: {TROUBLE}")
time.sleep(6)
cluster.client(cluster.edges[0], "POST", PREFIX + job_id(),
               job(3000, cpu=8000, requirements="b"))
time.sleep(0.5)
leader = cluster.leader()
if TROUBLE and leader:
    leader.kill()
    time.sleep(1)
    leader.start()
time.sleep(6)
# contact-ms and one beat
late = [s for s in getattr(shrinks, "starts", []) if s[0] > shrunk + 4.5]
record(f"starts of 8000 on a worker of 2000: {late}")
cluster.end()
sys.exit(1 if late else 0)
