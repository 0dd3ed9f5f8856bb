"""Rule 3 (drains are kept) after the watch has fallen silent and discovery has refused one request.

Without the disruption the same servers drain at the same time, and the watches go on.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standin as s

PROXIES, SERVERS, DRAINING, RATE = 4, 12, 7, 50.0
TOLD_AFTER = 6.0  # a silent watch: told at the latest 6 s after it fell silent
GRACE = 0.5 + 0.05  # the settings' grace, and the 50 ms that each limit is longer on sockets


async def main(record, folder, trouble):
    servers = [s.Server(f"s-{i}", record) for i in range(SERVERS + 1)]
    for server in servers:
        await server.start()
    discovery = s.Discovery("discovery", record)
    await discovery.start()
    # The last server joins later.
    discovery.set(*[s.entry(server) for server in servers[:-1]])
    known = {"seq": discovery.seq, "whole": True, "hosts": list(discovery.entries.values())}
    proxies = [s.Proxy(f"n{i}", folder, record, discovery.address, s.settings(position=i, siblings=PROXIES), known)
               for i in range(PROXIES)]
    try:
        for proxy in proxies:
            await proxy.start()
        for proxy in proxies:
            if not await proxy.ready():
                raise RuntimeError("a proxy did not get ready")
        load = asyncio.create_task(s.calls(proxies, record, RATE, 16.0))
        await asyncio.sleep(5.0)
        if len(discovery.watches) != PROXIES:
            raise RuntimeError("a proxy has no open watch")
        # A change that all proxies are told of, so that all watches have just brought a line when they fall silent.
        discovery.set(s.entry(servers[-1]))
        silent_at = s.now()
        asked_before = len(discovery.requests)
        if trouble:
            discovery.silence()
            discovery.refuse = PROXIES
        leaving = servers[:DRAINING]
        told_at = {}
        for server in leaving:
            await asyncio.sleep(0.35 if told_at else 0.1)
            discovery.set(s.entry(server, "draining"))
            server.draining = True
            told_at[server] = silent_at + TOLD_AFTER if trouble else s.now()
        drained_at = s.now()
        clients = await load
        for server, at in told_at.items():
            record(f"the drain of {server.name} counts as told at {at:.3f}; with the grace nothing new after "
                   f"{at + GRACE:.3f}")
        asked = [round(at - silent_at, 2) for at in discovery.requests[asked_before:]]
        record(f"discovery was asked {asked} s after the watches fell silent" if trouble else f"asked: {asked}")
        if not any(at > drained_at for server in servers[DRAINING:] for at, _ in server.opened):
            raise RuntimeError("nothing was served after the drain")
        if sum(client.answer.startswith("UP") for client in clients) < len(clients) / 2:
            raise RuntimeError("most calls were not served")
        return [f"{server.name} was sent {call} {at - told_at[server]:.3f} s after its drain counted as told"
                for server in leaving for at, call in server.opened if at > told_at[server] + GRACE]
    finally:
        for proxy in proxies:
            proxy.end()


s.run(__file__, main)
