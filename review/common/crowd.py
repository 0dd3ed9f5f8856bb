"""Many connections at once: servers and clients in processes of their own, so that the stand-ins are never late.

All that these processes do follows from absolute times that are given at the start, so that they need no messages.
"""

import asyncio
import gc
import multiprocessing
import random
import signal
import time

CONTEXT = multiprocessing.get_context("fork")


class ServerSide(asyncio.Protocol):
    """One connection at a sound server: `UP` with a receipt, then each line comes back at once."""

    def __init__(self, name, out):
        self.name, self.out, self.buffer, self.up = name, out, b"", False

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if self.up:
            self.transport.write(data)
            return
        self.buffer += data
        if b"\n" in self.buffer:
            line = self.buffer.split(b"\n")[0].strip().decode("ascii", "replace")
            self.up = True
            self.out.write(f"{time.time():.6f} server {self.name} runs {line}\n")
            self.transport.write(f"UP {self.name}.{line.split()[1]}\r\n".encode())


def serve(name, sock, path, until):
    async def main():
        with open(path, "w", encoding="utf-8") as out:
            await asyncio.get_running_loop().create_server(lambda: ServerSide(name, out), sock=sock)
            await asyncio.sleep(until - time.time())

    gc.disable()
    asyncio.run(main())


class ClientSide(asyncio.Protocol):
    """One client's connection. `gone` is called once it has ended, with its last line."""

    def __init__(self, line, gone):
        self.line, self.gone, self.buffer, self.answer, self.last = line, gone, b"", None, b""

    def connection_made(self, transport):
        self.transport = transport
        transport.write(self.line)

    def data_received(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.last = line.strip()
            if self.answer is None:
                self.answer = self.last

    def connection_lost(self, error):
        self.gone()


def live(number, addresses, path, plan):
    """`plan`: clients, open (over these seconds from `begin` on), begin, drop_at, share, within, life, until, hint."""
    random.seed(f"{plan['seed']}.{number}")

    async def client(out, dropped):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(plan["begin"] + random.random() * plan["open"] - time.time())
        while time.time() < plan["until"]:
            ended = asyncio.Event()
            ident = "%016x" % random.getrandbits(64)
            line = f"OPEN {ident} {random.getrandbits(64):016x} c=menu-feed,t=kodukokk,d=3000,h={plan['hint']}\r\n"
            host, port = random.choice(addresses)
            sent = time.time()
            try:
                transport, side = await loop.create_connection(
                    lambda: ClientSide(line.encode(), ended.set), host, port)
            except OSError:
                await asyncio.sleep(0.5)
                continue
            leaves = sent + random.expovariate(1.0 / plan["life"])
            drops = dropped and sent < plan["drop_at"]
            pause = random.uniform(0.14, 1.2)
            reason = "ended"
            next_line = sent + 1.0 + random.random()
            while not ended.is_set():
                now = time.time()
                if drops and now >= plan["drop_at"]:
                    reason, pause = "drops", random.random() * plan["within"]
                    break
                if now >= leaves or now >= plan["until"]:
                    reason = "leaves"
                    break
                if now >= next_line:
                    transport.write(b"hello\r\n")
                    next_line += 2.0
                wake = min(next_line, leaves, plan["until"], plan["drop_at"] if drops else leaves)
                try:
                    await asyncio.wait_for(ended.wait(), max(0.0, wake - now))
                except asyncio.TimeoutError:
                    pass
            transport.close()
            answer = (side.answer or b"nothing").decode("ascii", "replace")
            if answer.startswith("BUSY"):
                pause = float(answer.split()[1]) / 1000.0 if " " in answer else random.uniform(0.1, 0.5)
            out.write(f"{sent:.6f} client {ident} sent {line.strip()} to {host}:{port} and is answered {answer}; "
                      f"{reason} at {time.time():.6f} after {side.last.decode('ascii', 'replace')}\n")
            await asyncio.sleep(pause)

    async def main():
        with open(path, "w", encoding="utf-8") as out:
            tasks = [asyncio.create_task(client(out, random.random() < plan["share"]))
                     for _ in range(plan["clients"])]
            await asyncio.sleep(plan["until"] - time.time() + 1.0)
            for task in tasks:
                task.cancel()

    gc.disable()
    asyncio.run(main())


def run(target, arguments):
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    target(*arguments)


def start(target, *arguments):
    process = CONTEXT.Process(target=run, args=(target, arguments), daemon=True)
    process.start()
    return process
