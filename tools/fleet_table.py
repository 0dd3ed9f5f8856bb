#!/usr/bin/env python3
"""Turns a directory of proxy logs (RUST_LOG=debug, or trace for loads) into a table of the whole fleet, one row per step.

usage: fleet_table.py FOLDER [STEP_S] [servers|legs|story ID]
By default the table counts requests; `servers` shows the load of each server's established connections, as hinted by the
clients or reported by the server since, divided by its weight; `legs` shows how legs ended at each server, and `story` the
log lines that contain ID.
"""
import collections
import glob
import re
import sys

LINE = re.compile(r"^(\d+\.\d+) \[(\w+) +([\w:]+)\] (.*)$")
REQUEST = re.compile(r"^(\w{16}): request received: OPEN \w+ (\w+) (\S+)")
LEG = re.compile(r"^(\w{16}): leg (\d+) to server (\w+), time-out ([-\d.]+) s")
ESTABLISHED = re.compile(r"^(\w{16}): established at server (\w+), ([-\d.]+) s")
LEG_ENDED = re.compile(r"^(\w{16}|a client): leg (\d+) at server (\w+) ended: (\w+)")
ANSWER = re.compile(r"^(\w{16}): final answer '(\w*)")
LISTED = re.compile(r"^server (\w+) is (\w+) in zone (\d+), of weight ([\d.]+), started ([-\w.]+) s ago")
LOAD = re.compile(r"^(\w{16}): load on server (\w+) is ([\d.e-]+)")
RELOCATION = re.compile(r"^(\w{16}): relocation requested")


def log_lines(directory):
    """All lines of all logs, in order of time, each with its proxy."""
    found = []
    for path in glob.glob(directory + "/*.log"):
        proxy = path.rsplit("/", 1)[1][:-4]
        for line in open(path, errors="replace"):
            match = LINE.match(line)
            if match:
                found.append((float(match[1]), proxy, match[4]))
    return sorted(found, key=lambda e: e[0])


def main():
    directory, step = sys.argv[1], float(sys.argv[2]) if len(sys.argv) > 2 else 1.0
    table = sys.argv[3] if len(sys.argv) > 3 else "requests"
    rows = collections.defaultdict(collections.Counter)
    servers, load = {}, collections.Counter()
    established, legs = {}, {}
    hinted_load, received_at = {}, {}
    snapshots, step_at = [], 0.0
    ended_by_server = collections.defaultdict(collections.Counter)
    for at, proxy, text in log_lines(directory):
        while at >= step_at + step:
            snapshots.append((step_at + step, dict(load), collections.Counter(p for p in (v[0] for v in established.values())),
                              {s: dict(v) for s, v in servers.items()}))
            step_at += step
        row = rows[int(at / step)]
        if table == "story" and sys.argv[4] in text:
            print(f"{at:9.3f} {proxy} {text}")
        if m := REQUEST.match(text):
            fields = dict(f.split("=", 1) for f in m[3].split(",") if "=" in f)
            hinted_load[m[1]] = float(fields.get("h", 0)) / 1e6
            received_at[m[1]] = at
            if "at" in fields:
                row["restored"] += 1
            else:
                row["requests"] += 1
                row["again"] += "again" in fields
                row["retry"] += "r" in fields and "again" not in fields
        elif m := LEG.match(text):
            row["legs"] += 1
            legs[m[1], m[2]] = (m[3], at)
        elif m := ESTABLISHED.match(text):
            row["established"] += 1
            row["setup_ms"] += int(1000 * (at - received_at.get(m[1], at)))
            row["late"] += at - received_at.get(m[1], at) > 0.75
            old = established.pop(m[1], None)
            if old:
                load[old[0]] -= old[1]
            established[m[1]] = [m[2], hinted_load.get(m[1], 0.0), proxy]
            load[m[2]] += hinted_load.get(m[1], 0.0)
        elif m := LEG_ENDED.match(text):
            connection = established.pop(m[1], None) if established.get(m[1], [None])[0] == m[3] else None
            if connection:
                load[connection[0]] -= connection[1]
                row["end:" + m[4]] += 1
            else:
                row["leg:" + m[4]] += 1
            ended_by_server[m[3], int(at / step)][m[4] if not connection else "established " + m[4]] += 1
        elif m := ANSWER.match(text):
            row["sent:" + (m[2] or "nothing")] += 1
        elif RELOCATION.match(text):
            row["relocated"] += 1
        elif m := LOAD.match(text):
            connection = established.get(m[1])
            if connection and connection[0] == m[2]:
                load[m[2]] += float(m[3]) - connection[1]
                connection[1] = float(m[3])
        elif m := LISTED.match(text):
            started = -1.0 if m[5] == "inf" else at - float(m[5])
            known = servers.setdefault(m[1], {"zone": m[3], "weight": float(m[4]), "states": {}, "started": started})
            known["started"] = max(started, known["started"])
            known["states"][proxy] = m[2]
        elif " serves on " in " " + text:
            for client in [c for c, v in established.items() if v[2] == proxy]:
                old = established.pop(client)
                load[old[0]] -= old[1]
                row["killed"] += 1
    if table == "requests":
        columns = ["requests", "again", "retry", "restored", "established", "late", "legs", "relocated", "killed"]
        columns += sorted({k for r in rows.values() for k in r if ":" in k})
        print("   s " + " ".join(f"{c[-11:]:>11}" for c in columns) + "   mean ms")
        for second in sorted(rows):
            row = rows[second]
            print(f"{second * step:4.0f} " + " ".join(f"{row[c]:11d}" for c in columns)
                  + f"   {row['setup_ms'] / max(1, row['established']):7.0f}")
        total = sum(rows.values(), collections.Counter())
        print(" all " + " ".join(f"{total[c]:11d}" for c in columns))
    if table == "servers":
        names = sorted(servers, key=lambda s: (servers[s]["zone"], servers[s]["started"], s))
        print("   s " + " ".join(f"{n[:5]}/{servers[n]['zone']}" for n in names))
        print("  of " + " ".join(f"{servers[n]['weight']:7.1f}" for n in names))
        for at, loads, count, seen in snapshots:
            line = []
            for n in names:
                if n not in seen:
                    line.append("      .")
                    continue
                states = collections.Counter(seen[n]["states"].values())
                mark = {"Ready": " ", "Draining": "d", "Gone": "-"}[states.most_common(1)[0][0]]
                age = at - seen[n]["started"] if seen[n]["started"] >= 0 else 99
                mark = "c" if mark == " " and age < 15 else mark
                line.append(f"{mark}{loads.get(n, 0) / seen[n]['weight']:5.2f}{'' if count[n] < 0 else ''} ")
            print(f"{at:4.0f} " + " ".join(line) + f"   sum {sum(loads.values()):.1f} n {sum(count.values())}")
    if table == "legs":
        for (server, second), ends in sorted(ended_by_server.items(), key=lambda e: (e[0][0], e[0][1])):
            print(f"{server:>8} {second * step:4.0f} " + ", ".join(f"{k} {v}" for k, v in sorted(ends.items())))


main()
