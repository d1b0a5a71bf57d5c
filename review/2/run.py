"""Case 2: after a restart an entry process takes the reply to a request of
its predecessor for the reply to its own client's request."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standin import (Cluster, PREFIX, Record, Worker, job, job_id)  # noqa

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 6
# shorter than the followers wait before they elect another leader
CUT_S = 0.97
record = Record(os.path.join(HERE, "record.txt"))


def play():
    """One round: True if the rule was broken, False if it held, None if the
    order of events did not come about."""
    cluster = Cluster(record, edges=2, has_cuts=True)
    try:
        if not cluster.start():
            return None
        for i in range(3):
            Worker(cluster, i)
        time.sleep(2.5)
        leader = cluster.leader()
        if not leader:
            return None
        return attempt(cluster, cluster.edges[0], cluster.edges[1],
                       leader)
    finally:
        cluster.end()


def attempt(cluster, entry, other_entry, leader):
    first, second = job_id(), job_id()
    answers = {}

    def submit(name, identifier):
        answers[name] = cluster.client(entry, "POST", PREFIX + identifier,
                                       job(300), who=f"client {name}")

    def submit_in_background(name, identifier):
        thread = threading.Thread(target=submit, args=(name, identifier))
        thread.start()
        return thread

    begin = time.monotonic()
    if TROUBLE:
        cluster.cut.begin(leader)
    a = submit_in_background("A", first)
    time.sleep(0.05)
    if TROUBLE:
        entry.kill()
        entry.start()
    else:
        a.join()
    ready = False
    while not ready and time.monotonic() < begin + 0.8:
        ready = cluster.is_ready(entry)
        time.sleep(0.01)
    record(f"entry process ready: {ready}")
    time.sleep(max(0, begin + 0.86 - time.monotonic()))
    b = submit_in_background("B", second)
    time.sleep(max(0, begin + CUT_S - time.monotonic()))
    if TROUBLE:
        cluster.cut.end()
    a.join()
    b.join()
    # longer than contact-ms and visible-ms after the last event
    time.sleep(7)
    state_a = cluster.client(other_entry, "GET", PREFIX + first)
    state_b = cluster.client(other_entry, "GET", PREFIX + second)
    record(f"A was answered {answers['A']}, later {state_a}")
    record(f"B was answered {answers['B']}, later {state_b}")
    if answers["B"][0] == 200:
        return state_b[0] == 410
    return False if ready and answers["B"][0] else None


results = []
for number in range(ROUNDS):
    record(f"round {number + 1}")
    results.append(play())
    record(f"round {number + 1}: " + {
        True: "BROKEN: an accepted job is not known",
        False: "held", None: "did not come about"}[results[-1]])
    if results[-1] or not TROUBLE:
        break
if True in results:
    sys.exit(1)
sys.exit(0 if False in results else 2)
