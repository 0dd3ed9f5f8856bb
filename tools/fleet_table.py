#!/usr/bin/env python3
"""Turns a folder of proxies' logs (RUST_LOG=debug, or trace for loads) into a table of the whole fleet, a row a step.

usage: fleet_table.py FOLDER [STEP_S] [servers|legs|story ID]
Without a word the table of requests; `servers` tells each server's asked load over its weight, `legs` how legs ended.
"""
import collections
import glob
import re
import sys

LINE = re.compile(r"^(\d+\.\d+) \[(\w+) +([\w:]+)\] (.*)$")
OPENS = re.compile(r"^(\w{16}): opens, OPEN \w+ (\w+) (\S+)")
LEG = re.compile(r"^(\w{16}): leg (\d+) to server (\w+), for ([-\d.]+) s")
STANDS = re.compile(r"^(\w{16}): stands at server (\w+), ([-\d.]+) s")
ENDS = re.compile(r"^(\w{16}|a client): leg (\d+) at server (\w+) ends: (\w+)")
TOLD = re.compile(r"^(\w{16}): is told (\w*)")
LISTED = re.compile(r"^server (\w+) is (\w+) in zone (\d+), of weight ([\d.]+), started ([-\w.]+) s ago")
LOADS = re.compile(r"^(\w{16}): loads server (\w+) with ([\d.e-]+)")
ANEW = re.compile(r"^(\w{16}): is to be placed anew")


def events(folder):
    """All lines of all logs, by time; each with its proxy."""
    found = []
    for path in glob.glob(folder + "/*.log"):
        proxy = path.rsplit("/", 1)[1][:-4]
        for line in open(path, errors="replace"):
            match = LINE.match(line)
            if match:
                found.append((float(match[1]), proxy, match[4]))
    return sorted(found, key=lambda e: e[0])


def main():
    folder, step = sys.argv[1], float(sys.argv[2]) if len(sys.argv) > 2 else 1.0
    what = sys.argv[3] if len(sys.argv) > 3 else "requests"
    rows = collections.defaultdict(collections.Counter)
    servers, load = {}, collections.Counter()
    standing, legs = {}, {}
    asked, opened = {}, {}
    snapshots, step_at = [], 0.0
    ended_by_server = collections.defaultdict(collections.Counter)
    for at, proxy, text in events(folder):
        while at >= step_at + step:
            snapshots.append((step_at + step, dict(load), collections.Counter(p for p in (v[0] for v in standing.values())),
                              {s: dict(v) for s, v in servers.items()}))
            step_at += step
        row = rows[int(at / step)]
        if what == "story" and sys.argv[4] in text:
            print(f"{at:9.3f} {proxy} {text}")
        if m := OPENS.match(text):
            fields = dict(f.split("=", 1) for f in m[3].split(",") if "=" in f)
            asked[m[1]] = float(fields.get("h", 0)) / 1e6
            opened[m[1]] = at
            if "at" in fields:
                row["back"] += 1
            else:
                row["opens"] += 1
                row["again"] += "again" in fields
                row["retry"] += "r" in fields and "again" not in fields
        elif m := LEG.match(text):
            row["legs"] += 1
            legs[m[1], m[2]] = (m[3], at)
        elif m := STANDS.match(text):
            row["up"] += 1
            row["took"] += int(1000 * (at - opened.get(m[1], at)))
            row["late"] += at - opened.get(m[1], at) > 0.75
            old = standing.pop(m[1], None)
            if old:
                load[old[0]] -= old[1]
            standing[m[1]] = [m[2], asked.get(m[1], 0.0), proxy]
            load[m[2]] += asked.get(m[1], 0.0)
        elif m := ENDS.match(text):
            held = standing.pop(m[1], None) if standing.get(m[1], [None])[0] == m[3] else None
            if held:
                load[held[0]] -= held[1]
                row["gone:" + m[4]] += 1
            else:
                row["leg:" + m[4]] += 1
            ended_by_server[m[3], int(at / step)][m[4] if not held else "gone " + m[4]] += 1
        elif m := TOLD.match(text):
            row["told:" + (m[2] or "nothing")] += 1
        elif ANEW.match(text):
            row["anew"] += 1
        elif m := LOADS.match(text):
            held = standing.get(m[1])
            if held and held[0] == m[2]:
                load[m[2]] += float(m[3]) - held[1]
                held[1] = float(m[3])
        elif m := LISTED.match(text):
            started = -1.0 if m[5] == "inf" else at - float(m[5])
            known = servers.setdefault(m[1], {"zone": m[3], "weight": float(m[4]), "states": {}, "started": started})
            known["started"] = max(started, known["started"])
            known["states"][proxy] = m[2]
        elif " serves on " in " " + text:
            for client in [c for c, v in standing.items() if v[2] == proxy]:
                old = standing.pop(client)
                load[old[0]] -= old[1]
                row["killed"] += 1
    if what == "requests":
        columns = ["opens", "again", "retry", "back", "up", "late", "legs", "anew", "killed"]
        columns += sorted({k for r in rows.values() for k in r if ":" in k})
        print("   s " + " ".join(f"{c[-11:]:>11}" for c in columns) + "   mean ms")
        for second in sorted(rows):
            row = rows[second]
            print(f"{second * step:4.0f} " + " ".join(f"{row[c]:11d}" for c in columns)
                  + f"   {row['took'] / max(1, row['up']):7.0f}")
        total = sum(rows.values(), collections.Counter())
        print(" all " + " ".join(f"{total[c]:11d}" for c in columns))
    if what == "servers":
        names = sorted(servers, key=lambda s: (servers[s]["zone"], servers[s]["started"], s))
        print("   s " + " ".join(f"{n[:5]}/{servers[n]['zone']}" for n in names))
        print("  of " + " ".join(f"{servers[n]['weight']:7.1f}" for n in names))
        for at, held, count, seen in snapshots:
            line = []
            for n in names:
                if n not in seen:
                    line.append("      .")
                    continue
                states = collections.Counter(seen[n]["states"].values())
                mark = {"Ready": " ", "Draining": "d", "Gone": "-"}[states.most_common(1)[0][0]]
                age = at - seen[n]["started"] if seen[n]["started"] >= 0 else 99
                mark = "c" if mark == " " and age < 15 else mark
                line.append(f"{mark}{held.get(n, 0) / seen[n]['weight']:5.2f}{'' if count[n] < 0 else ''} ")
            print(f"{at:4.0f} " + " ".join(line) + f"   sum {sum(held.values()):.1f} n {sum(count.values())}")
    if what == "legs":
        for (server, second), ends in sorted(ended_by_server.items(), key=lambda e: (e[0][0], e[0][1])):
            print(f"{server:>8} {second * step:4.0f} " + ", ".join(f"{k} {v}" for k, v in sorted(ends.items())))


main()
