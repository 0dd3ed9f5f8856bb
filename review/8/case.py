"""Discovery is down, and a server begins to drain within that time. At the return the agent has it at once."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
from standin import Agent, Client, CouldNotRun, Proxy, Server, run, settings, traffic_type, trouble  # noqa: E402

# Discovery is down for this long.
OUTAGE = 8.0
# The grace of the settings, and what each time limit is longer on sockets.
GRACE = 0.5 + 0.05
# A proxy may be held up for this long between reading its clock and writing, and so may a stand-in on a busy machine.
SLACK = 0.15
PROXIES = 4


async def case(record, folder, proxies):
    servers = [await Server(f"s-{n}", record).start() for n in range(3)]
    drained = servers[0]
    agents, calls, stop = [], [], asyncio.Event()
    for n in range(PROXIES):
        agent = await Agent(f"agent-{n}", record, [server.entry() for server in servers]).start()
        proxy = Proxy(f"n{n}", record, agent.address, agent.whole_list(),
                      settings([traffic_type("chat")], proxies=PROXIES, position=n), folder)
        agents.append(agent)
        proxies.append(proxy)
        proxy.start()
        await proxy.ready()
        # The agents write their empty lines at different times, as the proxies started at different times.
        await asyncio.sleep(0.5)
    proxy_of = {}

    async def traffic(proxy):
        while not stop.is_set():
            client = Client(record, proxy, "chat")
            proxy_of[client.id] = proxies.index(proxy)
            calls.append(asyncio.create_task(client.open_and_leave()))
            await asyncio.sleep(0.04)

    talking = [asyncio.create_task(traffic(proxy)) for proxy in proxies]
    await asyncio.sleep(5.0)
    if not drained.runs:
        raise CouldNotRun("no request went to the server before it drained")
    if trouble():
        for agent in agents:
            agent.fall_silent()
    await asyncio.sleep(OUTAGE)
    told_at = record.now()
    for agent in agents:
        if trouble():
            agent.come_back()
        # During the outage the agent learned nothing; at the return it gets this at once.
        agent.change(drained.name, "draining")
    await asyncio.sleep(8.0)
    stop.set()
    await asyncio.gather(*talking)
    await asyncio.wait(calls, timeout=4.0)
    late = [(at - told_at, request) for at, request in drained.runs if at > told_at + GRACE + SLACK]
    for after, request in late:
        record.say(f"{drained.name} got request {request} from n{proxy_of[request]} {after:.3f} s after its agent had the drain")
    last = max((at - told_at for at, _ in drained.runs), default=0.0)
    record.say(f"{len(late)} requests went to the draining server after the grace; the last came {last:.3f} s after the drain was told")
    return not late


run(case, FOLDER)
