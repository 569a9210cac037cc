#!/usr/bin/env python3
"""Shows by queue how long jobs waited and for what, from the logs of replicas.

    lost.py LOG...        ("-" reads standard input)

Reads the lines with event=accepted, assign, end and pace and ignores any text
before the time in a line. Prints for each queue: the number of its jobs, the
time from acceptance to the first start, the time that tasks waited between a
failed run and the next one, the number of runs by how they ended, the time that
runs were throttled to 0 % of their processors, and the longest waits with the
ids to trace them by.
"""

import collections
import re
import sys

TIME = re.compile(r"T(\d\d):(\d\d):(\d\d\.\d+)Z ")
FIELD = re.compile(r"(\w+)=(\S+)")
LONGEST_COUNT = 3  # number of the longest waits that are shown


def events(files):
    """Yields the seconds since midnight and the fields of each log line."""
    for name in files:
        f = sys.stdin if name == "-" else open(name, errors="replace")
        for line in f:
            time = TIME.search(line)
            if time is None or " event=" not in line:
                continue
            seconds = int(time[1]) * 3600 + int(time[2]) * 60 + float(time[3])
            yield seconds, dict(FIELD.findall(line[time.end():]))


def percentile(values, fraction):
    """Returns a percentile of unsorted values, or 0 without any."""
    values = sorted(values)
    return values[int((len(values) - 1) * fraction)] if values else 0.0


class Queue:
    def __init__(self):
        self.job_count = 0
        self.first_starts = []  # (s from acceptance, job)
        self.restarts = []  # (s between runs, how the earlier one ended, task)
        self.end_counts = collections.Counter()
        self.throttled_s = 0.0  # time at 0 %


def read(files):
    """Returns the queues by name and the number of jobs never started."""
    queue_of, accepted_s, started = {}, {}, set()
    last_end, throttled_since_s = {}, {}
    queues = collections.defaultdict(Queue)
    for now_s, e in events(files):
        job, kind = e.get("job"), e["event"]
        if kind == "accepted":
            queue_of[job], accepted_s[job] = e["queue"], now_s
            queues[e["queue"]].job_count += 1
            continue
        if job not in queue_of or "task" not in e:
            continue
        q = queues[queue_of[job]]
        task = job + " " + e["task"]
        if kind == "assign":
            if job not in started:
                started.add(job)
                q.first_starts.append((now_s - accepted_s[job], job))
            if task in last_end:
                end_s, how = last_end.pop(task)
                q.restarts.append((now_s - end_s, how, task))
        elif kind == "end":
            q.end_counts[e["how"]] += 1
            if task in throttled_since_s:
                q.throttled_s += now_s - throttled_since_s.pop(task)
            if e["how"] != "DONE":
                last_end[task] = (now_s, e["how"])
        elif kind == "pace" and e.get("percent") == "0":
            throttled_since_s.setdefault(task, now_s)
        elif kind == "pace" and task in throttled_since_s:
            q.throttled_s += now_s - throttled_since_s.pop(task)
    return queues, len(set(accepted_s) - started)


def main():
    if len(sys.argv) < 2:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    queues, never_started = read(sys.argv[1:])
    for name, q in sorted(queues.items()):
        first = [x[0] for x in q.first_starts]
        again = [x[0] for x in q.restarts]
        print(f"{name}: {q.job_count} jobs; "
              f"first start {percentile(first, .5):.2f} s (median), "
              f"{percentile(first, .95):.2f} s (95th percentile), "
              f"{sum(first):.0f} s in all; after a failed run "
              f"{percentile(again, .5):.2f} s, {percentile(again, .95):.2f} s, "
              f"{sum(again):.0f} s in all; throttled to 0 % for "
              f"{q.throttled_s:.0f} s")
        print("   runs: " + ", ".join(
            f"{n} {how.lower()}" for how, n in q.end_counts.most_common()))
        for s, job in sorted(q.first_starts, reverse=True)[:LONGEST_COUNT]:
            print(f"   waited {s:.2f} s for its first start: job {job}")
        for s, how, task in sorted(q.restarts, reverse=True)[:LONGEST_COUNT]:
            print(f"   waited {s:.2f} s after {how.lower()}: task {task}")
    print(f"{never_started} jobs never started")
    return 0


if __name__ == "__main__":
    sys.exit(main())
