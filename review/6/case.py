"""A planned restart, while half of the servers hang in the middle of their work for a moment."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
from standin import Agent, Client, CouldNotRun, Proxy, Server, run, settings, traffic_type, trouble  # noqa: E402

GUARD_MS = 3000.0
# SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
KILL_AFTER = GUARD_MS / 1000 + 0.7
CLIENTS = 24
# Lines come in pieces.
PIECE_PAUSE = 0.02
# How long the servers hang; then they go on where they stopped. That is well before the proxy has to end.
HANG = 3.0


async def case(record, folder, proxies):
    hung, resumed = set(), asyncio.Event()

    async def echo(server, line, writer):
        half = len(line) // 2
        writer.write(line[:half])
        await asyncio.sleep(PIECE_PAUSE)
        if server in hung:
            # The process hangs: it reads, writes and closes nothing.
            await resumed.wait()
        writer.write(line[half:])

    servers = [await Server(f"s-{n}", record, echo=echo).start() for n in range(4)]
    agent = await Agent("agent", record, [server.entry() for server in servers]).start()
    proxy = Proxy("n1", record, agent.address, agent.whole_list(),
                  settings([traffic_type("chat", guard_ms=GUARD_MS)]), folder)
    proxies.append(proxy)
    proxy.start()
    await proxy.ready()

    clients, staying = [], []
    for n in range(CLIENTS):
        client = Client(record, proxy, "chat")
        reader = await client.open()
        if not reader:
            raise CouldNotRun(f"client {client.id} was not served: {client.answer}")
        clients.append(client)
        # They send a line every 2 s, each at a time of its own.
        staying.append(asyncio.create_task(client.stay(reader, 20.0, first_line_after=2.0 * n / CLIENTS)))
    await asyncio.sleep(4.0)
    if any(client.end != "open" for client in clients):
        raise CouldNotRun("a connection ended before the restart")

    if trouble():
        hung.update(servers[:2])
        record.say("two of four servers hang")
    proxy.signal(signal.SIGTERM)
    told_at = record.now()
    while proxy.process.poll() is None and record.now() < told_at + KILL_AFTER:
        await asyncio.sleep(0.01)
        if hung and record.now() >= told_at + HANG:
            hung.clear()
            resumed.set()
            record.say("the servers go on")
    if proxy.process.poll() is None:
        proxy.signal(signal.SIGKILL)
    else:
        record.say(f"n1 ended by itself after {record.now() - told_at:.2f} s")
    await asyncio.wait(staying, timeout=3.0)
    lost = [client for client in clients if client.end != "moved"]
    for client in lost:
        record.say(f"lost: client {client.id} got no MOVE; its connection was {client.end}")
    record.say(f"{len(clients) - len(lost)} of {len(clients)} clients were moved, {len(lost)} were lost")
    return not lost


run(case, FOLDER)
