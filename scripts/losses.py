#!/usr/bin/env python3
"""Splits the time of jobs that missed their objective by cause, from the logs
of replicas, and the lost worth by part, from a report.

    losses.py [--report FILE] LOG...        ("-" reads standard input)

Every moment of a late or unfinished short job between its acceptance and its
end counts for exactly one cause: a task ran to its end (running), it ran
throttled to 0 % (throttled), only runs were under way that failed or were
stopped or lost (repeated), no replica led (no_leader), or nothing ran
(waiting). Long-running jobs are counted by the time until their first task and
between two runs of a task. The report is the JSON of one played day: its worth
by kind of request, the windows below 0.7 and the prices are listed.
"""

import argparse
import collections
import json

from lost import events

CAUSES = ("waiting", "no_leader", "repeated", "throttled", "running")


class Job:
    def __init__(self, queue, accepted_s):
        self.queue, self.accepted_s = queue, accepted_s
        self.due_s = self.first_s = self.cancelled_s = None
        self.last_done_s = None
        self.open_runs = {}  # task -> [start, throttled since or None]
        self.spans = []  # (start, end, cause)
        self.pending = set()  # tasks that were assigned and are not done

    def assign(self, now_s, task, due_s):
        self.due_s = due_s
        if self.first_s is None:
            self.first_s = now_s
        self.open_runs[task] = [now_s, None]
        self.pending.add(task)

    def throttle(self, now_s, task, percent):
        run = self.open_runs.get(task)
        if run is None:
            return
        if percent == 0 and run[1] is None:
            run[1] = now_s
        elif percent > 0 and run[1] is not None:
            self.spans.append((run[1], now_s, "throttled"))
            run[1] = None

    def end(self, now_s, task, how):
        start_s, throttled_s = self.open_runs.pop(task, (now_s, None))
        if throttled_s is not None:
            self.spans.append((throttled_s, now_s, "throttled"))
        if how == "DONE":
            self.pending.discard(task)
            self.last_done_s = now_s
            self.spans.append((start_s, now_s, "running"))
        else:
            self.spans.append((start_s, now_s, "repeated"))

    def split(self, end_s, leaderless):
        """Returns the seconds of each cause between acceptance and end_s."""
        spans = self.spans + [(a, b, "no_leader") for a, b in leaderless]
        points = sorted({self.accepted_s, end_s} | {
            t for a, b, _ in spans for t in (a, b)
            if self.accepted_s < t < end_s})
        out = collections.Counter()
        for a, b in zip(points, points[1:]):
            here = {cause for start, stop, cause in spans
                    if start <= a and stop >= b}
            cause = next((c for c in ("throttled", "running", "repeated",
                                      "no_leader") if c in here), "waiting")
            if cause == "throttled" and "running" in here:
                cause = "running"
            out[cause] += b - a
        return out


def read(files):
    """Returns the jobs by id, the spans without a leader, and the time of the
    last line."""
    jobs, leaderless, lost_s, now_s = {}, [], None, 0.0
    for now_s, e in events(files):
        kind, job = e["event"], jobs.get(e.get("job"))
        if kind == "lead":
            if lost_s is not None:
                leaderless.append((lost_s, now_s))
            lost_s = None
        elif kind in ("leader_lost", "stop_leading") and lost_s is None:
            lost_s = now_s
        elif kind == "accepted":
            jobs.setdefault(e["job"], Job(e["queue"], now_s))
        elif job is None:
            continue
        elif kind == "cancelled":
            job.cancelled_s = now_s
        elif kind == "assign":
            job.assign(now_s, e["task"], now_s + int(e["due_in_ms"]) / 1000)
        elif kind == "end":
            job.end(now_s, e["task"], e["how"])
        elif kind == "pace" and "task" in e:
            job.throttle(now_s, e["task"], int(e["percent"]))
    return jobs, leaderless, now_s


def print_jobs(jobs, leaderless, last_s):
    print("queue           jobs cancelled unstarted  late unfinished  "
          + "  ".join(f"{c:>9}" for c in CAUSES) + "   (s of late jobs)")
    rows = collections.defaultdict(lambda: [0] * 5 + [collections.Counter()])
    for job in jobs.values():
        row = rows[job.queue]
        row[0] += 1
        if job.cancelled_s is not None:
            row[1] += 1
            continue
        finished = job.last_done_s is not None and not job.pending
        if job.first_s is None:
            row[2] += 1
        elif not finished:
            row[4] += 1
        elif job.last_done_s > job.due_s:
            row[3] += 1
        else:
            continue
        end_s = job.last_done_s if finished else last_s
        row[5].update(job.split(end_s, leaderless))
    for queue, row in sorted(rows.items()):
        print(f"{queue:14} {row[0]:5} {row[1]:9} {row[2]:9} {row[3]:5} "
              f"{row[4]:10}  "
              + "  ".join(f"{row[5][c]:9.1f}" for c in CAUSES))
    print("without a leader:", " ".join(
        f"{b - a:.2f} s" for a, b in leaderless) or "never")


def print_report(path):
    with open(path) as f:
        report = json.load(f)
    print(f"worth {report['G']:.3f}, before prices {report['served']:.3f}")
    for kind in report["classes"]:
        print(f"  {kind['name']:20} worth {kind['worth']:.3f} of "
              f"{kind['n']}: late {kind['late']}, refused "
              f"{kind['refused']}, failed {kind['failed']}")
    low = [w for w in report["windows"] if w["n"] and w["worth"] < 0.7]
    print("  windows below 0.7:", " ".join(
        f"{w['name']} s ({w['worth']:.2f})" for w in low) or "none")
    for name, _, price in sorted(report["prices"], key=lambda p: -p[2]):
        if price >= 0.002:
            print(f"  price {price:.4f}  {name}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--report")
    parser.add_argument("logs", nargs="*")
    args = parser.parse_args()
    if args.report:
        print_report(args.report)
    if args.logs:
        print_jobs(*read(args.logs))


if __name__ == "__main__":
    main()
