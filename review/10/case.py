"""A planned restart while a server begins to drain, with a discovery that is slow to answer the new process."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
from standin import Agent, Client, CouldNotRun, Proxy, Server, run, settings, traffic_type, trouble  # noqa: E402

# How long discovery takes for the first line of a watch while it is slow.
DELAY = 1.5
# The longest deadline and 0.7 s.
KILL_AFTER = 3.7
# The grace of the settings, what each time limit is longer on sockets, and how long a proxy may be held up.
GRACE = 0.5 + 0.05
SLACK = 0.15


class SlowAgent(Agent):
    """An agent that can be slow to answer."""

    slow = False

    async def first_answer(self):
        if self.slow:
            await asyncio.sleep(DELAY)


async def case(record, folder, proxies):
    servers = [await Server(f"s-{n}", record).start() for n in range(3)]
    drained = servers[0]
    agent = await SlowAgent("agent", record, [server.entry() for server in servers]).start()
    # The list as the proxy last had it: no server drains yet.
    known = agent.whole_list()
    proxy = Proxy("n1", record, agent.address, known, settings([traffic_type("chat")]), folder)
    proxies.append(proxy)
    proxy.start()
    await proxy.ready()
    for _ in range(30):
        await Client(record, proxy, "chat").open_and_leave()
    if not drained.runs:
        raise CouldNotRun("no request went to the server before it drained")

    proxy.signal(signal.SIGTERM)
    told_to_end = record.now()
    while proxy.process.poll() is None and record.now() < told_to_end + KILL_AFTER:
        await asyncio.sleep(0.01)
    proxy.end()
    agent.slow = trouble()
    agent.change(drained.name, "draining")
    proxy.start()
    # The front takes the proxy in once it has answered PING with PONG.
    await proxy.ready()
    ready_at = record.now()
    record.say("n1 is ready again")
    calls = []
    while record.now() < ready_at + 5.0:
        calls.append(asyncio.create_task(Client(record, proxy, "chat").open_and_leave()))
        await asyncio.sleep(0.04)
    await asyncio.wait(calls, timeout=4.0)
    late = [(at - ready_at, request) for at, request in drained.runs if at > ready_at + GRACE + SLACK]
    for after, request in late:
        record.say(f"{drained.name} got request {request} {after:.3f} s after the new process was ready")
    record.say(f"{len(late)} requests went to the draining server after the grace")
    return not late


run(case, FOLDER)
