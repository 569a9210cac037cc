#!/usr/bin/env python3
"""Plays the fuzz test of the decoder (platform/tests/bodies_test.cc) with one
seed after another, in processes of bounded memory.

    fuzz.py UNIT_TESTS [--seed N] [--seconds S]

A seed that would begin after the seconds isn't played. The test itself bounds
what decoding one body takes; the limit of the address space also ends one that
takes far more at once. Prints one line per seed; the exit status is 1 if one
failed.
"""

import argparse
import os
import re
import resource
import subprocess
import sys
import time

# The test passes with 60 MB, and not with 40 MB.
ADDRESS_SPACE = 128 << 20
# A seed takes 2 to 3 s.
SEED_TIMEOUT_S = 10
TEST = "Bodies.*"


def limit_memory():
    """Limits the address space of the process."""
    resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_SPACE, ADDRESS_SPACE))


def play(unit_tests, seed):
    """Plays one seed; returns what failed, or None, and the peak in KB."""
    try:
        run = subprocess.run(
            [unit_tests, f"--gtest_filter={TEST}"], preexec_fn=limit_memory,
            env={**os.environ, "FUZZ_SEED": str(seed)}, text=True,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False,
            timeout=SEED_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return f"no end within {SEED_TIMEOUT_S} s", 0
    peaks = [int(n) for n in
             re.findall(r"figure decode_peak_kb (\d+)", run.stdout)]
    if run.returncode != 0 or not peaks:
        return run.stdout, max(peaks, default=0)
    return None, max(peaks)


def main():
    """Plays seeds until the time is over."""
    parser = argparse.ArgumentParser()
    parser.add_argument("unit_tests")
    parser.add_argument("--seed", type=int, default=1000, help="the first one")
    parser.add_argument("--seconds", type=float, default=10)
    args = parser.parse_args()
    failed, seed = 0, args.seed
    end = time.monotonic() + args.seconds
    while seed == args.seed or time.monotonic() < end:
        fault, peak = play(args.unit_tests, seed)
        failed += fault is not None
        print(f"{'ok' if fault is None else 'FAILED'} fuzz seed {seed}: "
              f"peak of one body {peak} KB", flush=True)
        if fault is not None:
            print(fault, flush=True)
        seed += 1
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
