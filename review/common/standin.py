"""Stand-ins for clients, servers and discovery, and the start of real proxies, as the protocol page describes them.

Everything runs on loopback addresses and the real clock. Times in the record are seconds since the script began.
"""

import asyncio
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.time()


def now():
    """Seconds since the script began."""
    return time.time() - START


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text, at=None):
        self.file.write(f"{now() if at is None else at:9.3f} {text}\n")
        self.file.flush()


def listening_socket():
    """A listening socket on a free port of 127.0.0.1."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


def free_address():
    """An address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def address_of(sock):
    return "%s:%d" % sock.getsockname()


class Server:
    """A sound server: answers `UP` with a receipt of its own, and each further line with a line at once. While it
    drains it turns new connections away with `BUSY`."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.sock = listening_socket()
        self.address = address_of(self.sock)
        self.opened = []  # (time, id) of each first line
        self.draining = False
        self.writers = set()
        self.task = None

    async def start(self):
        self.task = await asyncio.start_server(self.serve, sock=self.sock)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode("ascii", "replace")
            if not line.endswith("\n"):
                return
            words = line.split()
            self.opened.append((now(), words[1]))
            self.record(f"server {self.name} gets {line.strip()}")
            if self.draining:
                self.record(f"server {self.name} drains and turns {words[1]} away")
                writer.write(b"BUSY\r\n")
                return
            writer.write(f"UP {self.name}.{len(self.opened)}\r\n".encode())
            while line := await reader.readline():
                writer.write(b"ok " + line)
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery's agent: whole list or changes after a version, an empty line every 2 s."""

    def __init__(self, name, record, seq=40):
        self.name, self.record, self.seq = name, record, seq
        self.sock = listening_socket()
        self.address = address_of(self.sock)
        self.entries = {}
        self.changes = []  # (version, entry)
        self.watches = {}  # writer -> whether it has fallen silent
        self.refuse = 0  # so many further requests are refused with 503
        self.requests = []  # times

    async def start(self):
        await asyncio.start_server(self.serve, sock=self.sock)

    def set(self, *entries):
        """Changes entries, and writes the change to all watches that are not silent."""
        self.seq += 1
        for entry in entries:
            self.entries[entry["host"]] = entry
            self.changes.append((self.seq, entry))
        self.record(f"{self.name} has version {self.seq}: "
                    + ", ".join(f"{e['host']} is {e['health']}" for e in entries))
        for writer, silent in list(self.watches.items()):
            if not silent:
                self.line(writer, self.version(False, entries))

    def silence(self):
        """Lets all open watches fall silent; their connections stay open."""
        for writer in self.watches:
            self.watches[writer] = True
        self.record(f"{self.name}: {len(self.watches)} open watches fall silent")

    def version(self, whole, entries):
        listed = [e for e in entries if not whole or e["health"] != "gone"]
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": listed}, separators=(",", ":")) + "\n"

    def line(self, writer, text):
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii", "replace")
            target = head.split()[1]
            self.requests.append(now())
            if self.refuse > 0:
                self.refuse -= 1
                self.record(f"{self.name} refuses {target} with 503")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            self.record(f"{self.name} is asked {target}")
            query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
            since = int(query.get("since", 0))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            first = self.changes[0][0] if self.changes else self.seq
            if first <= since <= self.seq:
                changed = {e["host"]: e for version, e in self.changes if version > since}
                if changed:
                    self.line(writer, self.version(False, list(changed.values())))
                else:
                    self.line(writer, "\n")
            else:
                self.line(writer, self.version(True, list(self.entries.values())))
            self.watches[writer] = False
            while True:
                try:
                    if not await asyncio.wait_for(reader.read(1024), 2.0):
                        return
                except asyncio.TimeoutError:
                    if not self.watches[writer]:
                        self.line(writer, "\n")
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()


def entry(server, health="ready", born_ms=0, site="a", share=1.0, block=0):
    return {"host": server.name, "dial": server.address, "site": site, "class": "m", "block": block,
            "health": health, "share": share, "born_ms": born_ms}


def settings(effect="retryable", position=0, siblings=1, quota=300.0, **over):
    """Settings of a small deployment, with the figures of tallinn-live."""
    made = {
        "azs": ["a"], "clients": {"marksRetry": True},
        "deductions": {"connection": 0.0, "crossZone": 0.12, "handshake": 0.0, "lateFail": 0.08,
                       "membershipMode": 0.0, "moves": 0.01, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.02},
        "family": "conn", "feedback": {"fields": [], "how": "off"},
        "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
        "layers": ["live-servers"],
        "limits": {"cancel": True, "connectTimeout": 200.0, "cpuUsPerRequest": 10.0, "cpuUsPerS": 17379,
                   "idleClose": 5000.0, "maxOpen": 1158603, "maxRetryAfter": 1500.0, "mostLegs": 3,
                   "peerMessages": False, "probes": False, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 1048576},
        "locality": "a", "membershipMode": "automatic", "models": ["m"],
        "obligations": {"answerSlack": 8.0, "cold": 23000.0, "coldShare": 0.12, "fallMultiple": 2.5,
                        "mustAskIn": 10000.0, "stopSendingWithin": 500.0, "tipAfter": 2000.0},
        "overageRevenue": 0.05, "position": position, "revenueBy": "work", "siblings": siblings,
        "specifics": {"groups": False, "messageAim": [100.0], "mode": "proxy", "park": 0.0, "tellsDelay": True,
                      "tellsLoad": True, "tenantQuotaConnections": [quota]},
        "stage": 0, "tenants": [{"name": "kodukokk", "quotaRps": 20.0, "share": 1.0}], "tick": 2.0,
        "trafficTypes": [{"guardTime": 3000.0, "idempotency": effect, "keyScope": "all", "name": "menu-feed",
                          "repeatWindow": 5000.0, "revenue": 3.0, "setupTarget": 500.0, "streamed": True,
                          "tardyRevenue": 0.0}],
        "weights": "nominal",
    }
    made.update(over)
    return made


class Proxy:
    """A real proxy, started with the deploy file's `run` as the platform does."""

    def __init__(self, name, folder, record, discovery, settings, known=None, sockets=1024, memory_mb=192):
        self.name, self.record = name, record
        self.listen = free_address()
        self.config = {"name": name, "listen": self.listen, "discovery": discovery,
                       "seed": "%016x" % random.getrandbits(64),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": settings}
        self.path = os.path.join(folder, name + ".json")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.tmp = os.path.join(folder, name + ".tmp")
        os.makedirs(self.tmp, exist_ok=True)
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump({k: v for k, v in self.config.items() if v is not None}, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)
        env = dict(os.environ, LB_NAME=self.name, LB_LISTEN=self.listen, LB_DISCOVERY=self.config["discovery"],
                   LB_CONFIG=self.path, TMPDIR=self.tmp)
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.record(f"proxy {self.name} is started")

    async def ready(self, seconds=10.0):
        """Waits until `PING` is answered with `PONG`."""
        until = now() + seconds
        while now() < until:
            try:
                reader, writer = await self.connect()
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self.record(f"proxy {self.name} is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def connect(self):
        host, port = self.listen.rsplit(":", 1)
        return await asyncio.open_connection(host, int(port))

    def signal(self, number):
        self.record(f"proxy {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


class Client:
    """A client: opens a connection and sends a line every 2 s while it lasts."""

    def __init__(self, proxy, record, traffic="menu-feed", tenant="kodukokk", wait_ms=3000):
        self.proxy, self.record = proxy, record
        self.traffic, self.tenant, self.wait_ms = traffic, tenant, wait_ms
        self.id = "%016x" % random.getrandbits(64)
        self.answer = None  # the final answer, `closed` or `none`
        self.ended = None  # how an established connection ended
        self.sent_at = self.answered_at = None
        self.writer = None

    async def open(self):
        """Sends the first line and waits for its answer."""
        line = (f"OPEN {self.id} {random.getrandbits(64):016x} "
                f"c={self.traffic},t={self.tenant},d={self.wait_ms}\r\n")
        try:
            self.reader, self.writer = await self.proxy.connect()
        except OSError:
            self.answer = "no connection"
            return self.answer
        self.sent_at = now()
        self.writer.write(line.encode())
        try:
            got = await asyncio.wait_for(self.reader.readline(), self.wait_ms / 1000.0 + 2.0)
            self.answer = got.decode("ascii", "replace").strip() or "closed"
        except asyncio.TimeoutError:
            self.answer = "none"
        except (ConnectionError, OSError):
            self.answer = "closed"
        self.answered_at = now()
        self.record(f"client {self.id} at {self.proxy.name} sent {line.strip()} at {self.sent_at:.3f} "
                    f"and is answered {self.answer}")
        return self.answer

    async def hold(self, seconds):
        """Holds the established connection: a line every 2 s. Returns how it ended: `kept`, or its last line."""
        until, last = now() + seconds, ""
        next_line = now() + random.uniform(0.0, 2.0)
        try:
            while now() < until:
                if now() >= next_line:
                    self.writer.write(b"hello\r\n")
                    next_line += 2.0
                try:
                    got = await asyncio.wait_for(self.reader.readline(), max(0.01, min(next_line, until) - now()))
                except asyncio.TimeoutError:
                    continue
                if not got:
                    self.ended = last or "cut"
                    return self.ended
                last = got.decode("ascii", "replace").strip()
        except (ConnectionError, OSError):
            self.ended = "reset"
            return self.ended
        self.ended = "kept"
        return self.ended

    def close(self):
        if self.writer:
            self.writer.close()


def run(script, main):
    """Runs a case and exits with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `main(record, folder, trouble)` is a coroutine that returns a list of breaks."""
    code = 2
    try:
        # A script that is told to stop still ends what it has started.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
        record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
        # The proxies inherit the limit; their own is in the configuration.
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65536) if hard > 0 else 65536, hard))
        trouble = os.environ.get("TROUBLE", "1") != "0"
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(asyncio.wait_for(main(record, folder, trouble), 110))
        verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
        for text in ["BROKEN: " + text for text in breaks] + [verdict]:
            record(text)
        code = 1 if breaks else 0
        print("\n  ".join([verdict] + breaks[:5]), flush=True)
    except BaseException as error:  # whatever went wrong in the stand-ins, the case could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
    sys.exit(code)


async def calls(proxies, record, rate, seconds, hold=1.0):
    """Clients that come at this rate, each to the next proxy; an established one stays for about `hold` seconds."""
    made, tasks, until = [], [], now() + seconds

    async def one(proxy):
        client = Client(proxy, record)
        made.append(client)
        if (await client.open()).startswith("UP"):
            await client.hold(random.uniform(0.5, 1.5) * hold)
        client.close()

    start = now()
    while now() < until:
        tasks.append(asyncio.create_task(one(proxies[len(tasks) % len(proxies)])))
        await asyncio.sleep(max(0.0, start + len(tasks) / rate - now()))
    await asyncio.gather(*tasks)
    return made
