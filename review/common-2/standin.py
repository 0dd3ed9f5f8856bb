"""Stand-ins for clients, servers, discovery and the platform, on loopback addresses and the real clock.

They follow the pages on the protocol and the deployment. Every process that is started is ended by its id.
"""

import asyncio
import hashlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Times say nothing if this process was held up for longer than this, in seconds.
MOST_LATENESS = 0.1


class CouldNotRun(Exception):
    """The case could not be carried out, so that it says nothing about the rule."""


def trouble():
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def deploy_command(name):
    """The value of a key of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{name}\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    if not found:
        raise CouldNotRun(f"the deploy file has no command '{name}'")
    return found.group(1)


def traffic_type(name, idempotency="retryable", guard_ms=3000.0, target_ms=500.0):
    return {"name": name, "idempotency": idempotency, "keyScope": "all", "repeatWindow": 5000.0, "guardTime": guard_ms,
            "setupTarget": target_ms, "revenue": 3.0, "streamed": True, "tardyRevenue": 0.0}


def settings(types, zones=("east",), proxies=1, position=0, most_legs=3):
    """The settings of a small deployment, in the form of the simulator's first message."""
    return {
        "azs": list(zones), "locality": zones[0], "position": position, "siblings": proxies, "stage": 0, "tick": 2.0,
        "family": "conn", "layers": ["servers"], "models": ["medium"], "membershipMode": "automatic",
        "weights": "nominal", "revenueBy": "work", "overageRevenue": 0.05, "clients": {"marksRetry": True},
        "deductions": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.08,
                       "membershipMode": 0.0, "moves": 0.01, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.02},
        "feedback": {"fields": [], "how": "off"},
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
        "limits": {"cancel": True, "connectTimeout": 200.0, "cpuUsPerRequest": 10.0, "cpuUsPerS": 17379,
                   "idleClose": 5000.0, "maxOpen": 100000, "maxRetryAfter": 1500.0, "mostLegs": most_legs,
                   "peerMessages": False, "probes": False, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 1048576},
        "obligations": {"answerSlack": 8.0, "cold": 23000.0, "coldShare": 0.12, "fallMultiple": 2.5,
                        "mustAskIn": 10000.0, "stopSendingWithin": 500.0, "tipAfter": 2000.0},
        "specifics": {"groups": False, "messageAim": [100.0 for _ in types], "mode": "proxy", "park": 0.0,
                      "tellsDelay": True, "tellsLoad": True},
        "tenants": [{"name": "shop", "quotaRps": 1000.0, "share": 1.0}],
        "trafficTypes": types,
    }


def guarded(method):
    """A handler of a connection: an end of the connection is no error."""

    async def handler(self, reader, writer):
        try:
            await method(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return handler


def reset(writer):
    """Ends a connection with a reset."""
    writer.transport.abort()


class Server:
    """A sound server: gives each OPEN line an UP line with a receipt, and brings every later line back at once.

    `answer`, if set, is asked for each OPEN line and may do something else: it returns True if it did.
    """

    def __init__(self, name, record, answer=None, echo=None):
        self.name, self.record, self.answer, self.echo_with = name, record, answer, echo
        self.runs = []
        self.open_connections = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, 0, backlog=512)
        self.dial = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        return self

    def entry(self, health="ready", site="east", born_ms=0):
        return {"host": self.name, "dial": self.dial, "site": site, "class": "medium", "block": 0, "health": health,
                "share": 1.0, "born_ms": born_ms}

    @guarded
    async def serve(self, reader, writer):
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return
        request = line.split(b" ")[1].decode()
        self.runs.append((self.record.now(), request))
        self.record.line(f"{self.name} runs {line.decode().strip()}")
        if self.answer and await self.answer(self, request, reader, writer):
            return
        writer.write(f"UP receipt-{self.name}-{len(self.runs)}\r\n".encode())
        self.open_connections += 1
        try:
            while line := await reader.readline():
                if self.echo_with:
                    await self.echo_with(self, line, writer)
                else:
                    writer.write(line)
        finally:
            self.open_connections -= 1


class Agent:
    """The agent of discovery on one proxy's machine: answers a request for a watch at once with what it has, then
    writes the changes, and an empty line every 2 s. While discovery is down it is silent: it writes nothing, and a
    watch that has fallen silent stays broken, also one that was asked for meanwhile."""

    def __init__(self, name, record, hosts):
        self.name, self.record = name, record
        self.hosts = {host["host"]: host for host in hosts}
        self.changed = {host["host"]: 1 for host in hosts}
        self.seq = 1
        self.silent = False
        self.watches = []
        self.connections = []
        self.requests = 0
        self.last_line_at = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        return self

    def whole_list(self):
        hosts = [host for host in self.hosts.values() if host["health"] != "gone"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    def changes(self, since):
        hosts = [self.hosts[host] for host, seq in self.changed.items() if seq > since]
        return {"seq": self.seq, "whole": False, "hosts": hosts}

    def form(self, version):
        return json.dumps(version, separators=(",", ":"))

    def chunk(self, watch, text):
        data = text.encode() + b"\n"
        watch["writer"].write(b"%x\r\n%s\r\n" % (len(data), data))
        self.last_line_at = self.record.now()

    async def first_answer(self):
        """What happens before the first line of a watch is written: it comes at once."""

    @guarded
    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        self.record.line(f"{self.name} is asked: {head.split(b' HTTP')[0].decode()}"
                         + (", and is silent" if self.silent else ""))
        self.connections.append(writer)
        await self.first_answer()
        watch = {"writer": writer, "broken": self.silent}
        if not self.silent:
            since = int(re.search(rb"since=(\d+)", head).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            whole = since == 0 or since > self.seq
            self.chunk(watch, self.form(self.whole_list() if whole else self.changes(since)))
            self.watches.append(watch)
        beat = asyncio.create_task(self.beat(watch))
        try:
            await reader.read()
        finally:
            beat.cancel()
            if watch in self.watches:
                self.watches.remove(watch)

    async def beat(self, watch):
        while True:
            await asyncio.sleep(2.0)
            if not watch["broken"]:
                self.chunk(watch, "")

    def fall_silent(self):
        self.silent = True
        for watch in self.watches:
            watch["broken"] = True
        self.record.say(f"{self.name}: discovery is down")

    def come_back(self):
        self.silent = False
        self.record.say(f"{self.name}: discovery is back")

    def change(self, host, health):
        """Gives the agent a change, which it writes to the watches that work."""
        self.seq += 1
        self.hosts[host] = dict(self.hosts[host], health=health)
        self.changed[host] = self.seq
        self.record.say(f"{self.name} has: {host} is {health}")
        for watch in self.watches:
            if not watch["broken"]:
                self.chunk(watch, self.form({"seq": self.seq, "whole": False, "hosts": [self.hosts[host]]}))


def free_port():
    import socket
    with socket.socket() as found:
        found.bind((LOOPBACK, 0))
        return found.getsockname()[1]


class Proxy:
    """One real proxy, started as the deploy file says."""

    def __init__(self, name, record, discovery, known, its_settings, folder):
        self.name, self.record = name, record
        self.listen = f"{LOOPBACK}:{free_port()}"
        self.starts = 0
        self.config = {"name": name, "listen": self.listen, "discovery": discovery, "seed": "",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
                       "settings": its_settings}
        self.folder = os.path.join(folder, name)
        os.makedirs(os.path.join(self.folder, "tmp"))
        self.path = os.path.join(self.folder, "config.json")
        self.process = None

    def write_config(self, text):
        with open(self.path + ".next", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(self.path + ".next", self.path)

    def start(self):
        # The seed is new with each start, and the same each time the case is run.
        self.starts += 1
        self.config["seed"] = hashlib.sha256(f"{self.name}/{self.starts}".encode()).hexdigest()[:16]
        self.write_config(json.dumps(self.config))
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=self.listen,
                           LB_DISCOVERY=self.config["discovery"], LB_CONFIG=self.path,
                           TMPDIR=os.path.join(self.folder, "tmp"), RUST_LOG=os.environ.get("RUST_LOG", "info"))
        if not os.path.exists(os.path.join(ROOT, "target", "release", "dewhead")):
            raise CouldNotRun("the proxy is not built")
        self.log = open(os.path.join(self.folder, "log"), "w", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line(f"{self.name} is started, process {self.process.pid}")

    async def ready(self):
        """Waits until the proxy answers PING, as the front does."""
        for _ in range(100):
            try:
                reader, writer = await asyncio.open_connection(*self.address())
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer.startswith(b"PONG"):
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} is not ready: {self.log_text()}")

    def address(self):
        host, port = self.listen.split(":")
        return host, int(port)

    def signal(self, which):
        self.record.say(f"{self.name} gets {signal.Signals(which).name}")
        self.process.send_signal(which)

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8") as file:
            return file.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process:
            self.record.line(f"{self.name} has ended with {self.process.returncode}; its log:")
            for line in self.log_text().splitlines()[-60:]:
                self.record.line("    " + line)


class Client:
    """A sound client: one line, then it waits; once served, a line every 2 s."""

    count = 0

    def __init__(self, record, proxy, lane, wait_ms=2500):
        Client.count += 1
        self.id = f"{0x9b1f03aa00000000 + Client.count:016x}"
        self.record, self.proxy, self.lane, self.wait_ms = record, proxy, lane, wait_ms
        self.sent_at = self.answer = self.answered_at = self.end = self.ended_at = None
        self.writer = None

    async def open(self):
        """Sends the line and waits for the answer, half a second longer than its time."""
        try:
            reader, self.writer = await asyncio.open_connection(*self.proxy.address())
            line = f"OPEN {self.id} 7f3a9c21e0b4d655 c={self.lane},t=shop,d={self.wait_ms},h=1000\r\n"
            self.writer.write(line.encode())
            self.sent_at = self.record.now()
            self.record.line(f"client {self.id} sends {line.strip()}")
            limit = self.wait_ms / 1000 + 0.55
            answer = await asyncio.wait_for(reader.readline(), limit)
            self.answer = answer.decode(errors="replace").strip() or "closed"
        except asyncio.TimeoutError:
            self.answer = "nothing"
        except OSError as error:
            self.answer = f"broken ({error})"
        self.answered_at = self.record.now()
        self.record.line(f"client {self.id} is answered: {self.answer}")
        if not self.answer.startswith("UP ") and self.writer:
            self.writer.close()
        return reader if self.answer.startswith("UP ") else None

    async def stay(self, reader, seconds, first_line_after=0.0):
        """Sends a line every 2 s until the connection ends or `seconds` are over."""
        async def talk():
            await asyncio.sleep(first_line_after)
            while True:
                self.writer.write(f"line {self.id}\r\n".encode())
                await asyncio.sleep(2.0)
        talking = asyncio.create_task(talk())
        self.end, received = "open", b""

        async def receive():
            nonlocal received
            while data := await reader.read(4096):
                received += data

        try:
            await asyncio.wait_for(receive(), seconds)
            self.end = "closed"
        except asyncio.TimeoutError:
            pass
        except OSError:
            self.end = "reset"
        finally:
            talking.cancel()
            self.writer.close()
        self.ended_at = self.record.now()
        lines = received.split(b"\r\n")
        if b"MOVE" in lines:
            self.end = "moved"
        rest = lines[-1].decode(errors="replace")
        self.record.line(f"client {self.id} ends: {self.end}" + (f", after the half line '{rest}'" if rest else ""))

    async def open_and_leave(self):
        """A short connection: opens, and ends the connection once served."""
        if await self.open():
            self.writer.close()


def run(case, folder, seconds=110):
    """Runs a case: a coroutine function of (record, temporary folder, proxies) that returns whether the rule held."""
    record = Record(folder)
    proxies = []

    lateness = 0.0

    async def watch_lateness():
        """Finds out by how much this process was late itself."""
        nonlocal lateness
        while True:
            due = record.now() + 0.02
            await asyncio.sleep(0.02)
            lateness = max(lateness, record.now() - due)

    async def limited():
        watching = asyncio.create_task(watch_lateness())
        try:
            return await asyncio.wait_for(case(record, temporary, proxies), seconds)
        finally:
            watching.cancel()
            record.line(f"the stand-ins were late by {lateness:.3f} s at the most")

    with tempfile.TemporaryDirectory(prefix="dewhead-review-") as temporary:
        try:
            loop = asyncio.new_event_loop()
            code = HELD if loop.run_until_complete(limited()) else BROKEN
            if lateness > MOST_LATENESS:
                raise CouldNotRun(f"the stand-ins were late by {lateness:.3f} s")
        except (CouldNotRun, OSError, asyncio.TimeoutError) as error:
            record.say(f"the case could not run: {error!r}")
            code = COULD_NOT_RUN
        finally:
            for proxy in proxies:
                proxy.end()
    record.say(["the rule held", "THE RULE WAS BROKEN", "no result"][code])
    sys.stdout.flush()
    # Connections that are still open end with this process, without a word on each.
    os._exit(code)
