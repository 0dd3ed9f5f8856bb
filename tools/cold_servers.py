#!/usr/bin/env python3
"""Prints how close all proxies together came to the limit of rule 4 in a run, from their logs (RUST_LOG=trace, for the loads).

usage: cold_servers.py COLD_SHARE WARM_S MULTIPLE WINDOW_S FOLDER...
The first four come from the settings. The number of connections that a warm server can carry is estimated as its weight
divided by the mean reported load. For each folder, prints how many legs were sent to cold servers in all; the servers that
came closest to the limit, N + 2 sqrt(N) + 2 where N is what these figures allow in the window, each with its fraction of the
limit, weight, age, legs sent, N and the limit; and how often each tenth of the limit was reached.
Servers start with more capacity, and reach full capacity sooner, than the settings state: the first crashes of cold servers
were observed at about 3 times this estimate.
"""
import collections
import glob
import re
import sys

LINE = re.compile(r"^(\d+\.\d+) \[(\w+) +([\w:]+)\] (.*)$")
LISTED = re.compile(r"server (\w+) is (\w+) in zone (\d+), of weight ([\d.]+), started ([-\w.]+)")
LEG = re.compile(r"(\w{16}): leg (\d+) to server (\w+)")
LOAD = re.compile(r"(\w{16}): load on server (\w+) is ([\d.e-]+)")


def main():
    share, warm, multiple, window = map(float, sys.argv[1:5])
    for folder in sys.argv[5:]:
        weight, started, sent, loads = {}, {}, collections.defaultdict(list), []
        for path in glob.glob(folder + "/*.log"):
            for line in open(path, errors="replace"):
                match = LINE.match(line)
                if not match:
                    continue
                at, text = float(match[1]), match[4]
                if m := LISTED.match(text):
                    weight[m[1]] = float(m[4])
                    if m[5] != "inf":
                        started[m[1]] = at - float(m[5])
                elif m := LEG.match(text):
                    sent[m[3]].append(at)
                elif m := LOAD.match(text):
                    loads.append(float(m[3]))
        if not loads:
            sys.exit(f"{folder}: no load lines found; were the logs written with RUST_LOG=trace?")
        mean = sum(loads) / len(loads)
        closest, tenths, total = [], collections.Counter(), 0
        for server, start in started.items():
            ages = sorted(at - start for at in sent[server] if at >= start)
            total += sum(age < warm for age in ages)
            worst = None
            for first, age in enumerate(ages):
                if age > warm:
                    break
                count = sum(a <= age + window for a in ages[first:])
                present = share + (1 - share) * min(1.0, age / warm)
                allowed = multiple * window * weight[server] / mean / warm * present
                limit = allowed + 2 * allowed**0.5 + 2
                tenths[int(10 * count / limit)] += 1
                if worst is None or count / limit > worst[0]:
                    worst = (round(count / limit, 2), server, weight[server], round(age, 1), count, round(allowed, 1), round(limit, 1))
            if worst:
                closest.append(worst)
        print(folder, f"mean load {mean:.4f}, {len(started)} cold servers, sent while cold {total}")
        for entry in sorted(closest, reverse=True)[:5]:
            print("   ", *entry)
        print("    tenths of the limit:", dict(sorted(tenths.items())))


main()
