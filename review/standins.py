"""Stand-ins of the platform's store, runners and links, for the cases of this review.

Only the standard library is used. Every socket is bound to a loopback address. The
stand-ins follow the users' pages; where a page is silent they behave like a sound
store, runner or network.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
STOP_MS = 30.0
HOLD_MAX_MS = 1_000.0
# First interval after which TCP repeats data; each further one is twice as long.
RETRANSMIT_MS = 200.0
ORDER_PATHS = ("/-/run-start", "/-/run-stop", "/-/hold")
REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.path = path
        self.started_ms = now_ms()
        self.lines = []

    def add(self, text):
        at_s = (now_ms() - self.started_ms) / 1000.0
        self.lines.append(f"{at_s:9.3f} s  {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class HttpServer:
    """Serve HTTP/1.1; ``handle`` returns a status and a body, or None for no answer."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                answer = await self.handle(method, path, fields, headers, body)
                if answer is None:
                    continue
                status, content = answer
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store: keyed topics, kept in memory."""

    def __init__(self):
        super().__init__()
        self._records_by_topic = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        self._records_by_topic.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        topic = query.get("Topic", "")
        records = self._records_by_topic.setdefault(topic, [])
        if path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            offset = len(records)
            position = 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                frame = body[position + 4 : position + 4 + length]
                position += 4 + length
                end = 1 + frame[0]
                self.put(topic, frame[1:end].decode(), frame[end:])
            answer = {"Offset": offset, "End": len(records)}
            return 200, json.dumps(answer).encode()
        if path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            rows = [
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
                for key, (value, offset) in sorted(newest.items())
                if value and key > query.get("After", "")
            ]
            answer = {
                "items": rows[:500],
                "HasMore": len(rows) > 500,
                "End": len(records),
            }
            return 200, json.dumps(answer).encode()
        if path == "/-/log-read":
            start = int(query["From"])
            end_ms = now_ms() + float(query.get("WaitMs", "0"))
            while len(records) <= start and now_ms() < end_ms:
                timeout_s = (end_ms - now_ms()) / 1000.0
                try:
                    await asyncio.wait_for(self._changed.wait(), timeout_s)
                except TimeoutError:
                    break
            answer = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                frame = bytes([len(key)]) + key.encode() + value
                answer += struct.pack(">I", len(frame)) + frame
            return 200, answer
        return 404, b"{}"


class Run:
    def __init__(self, task, run, duration_ms):
        self.task = task
        self.run = run
        self.started_ms = now_ms()
        self.duration_ms = duration_ms
        self.stop_ms = None

    @property
    def due_ms(self):
        due_ms = self.started_ms + self.duration_ms
        return due_ms if self.stop_ms is None else min(due_ms, self.stop_ms)


class Runner(HttpServer):
    """A runner that doesn't guard its capacity.

    The ``Spec`` of a job is JSON: ``{"ms": [...]}``, the durations by step.
    """

    def __init__(self, runner_id, service, record, cpu=16_000, zone="zone-a"):
        super().__init__()
        self.id = runner_id
        self.service = service
        self.record = record
        self.cpu = cpu
        self.zone = zone
        self.state = "ready"
        self.token = 0
        self.runs = {}
        self.ended = []
        self.starts = []
        self.spans = []
        self._n_ended = 0
        self._barred = {}
        self._lease_end_ms = 0.0
        self._started_ms = now_ms()
        self._sequence = 0
        self._ended_event = asyncio.Event()
        self._tasks = []
        self._store = None

    def clock_ms(self):
        return now_ms() - self._started_ms

    async def join(self, store):
        """Start, register in the store and write a heartbeat at times."""
        await self.start()
        self._store = store
        self._write_entry()
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._tick()),
        ]

    def drain(self):
        """Report that this runner leaves; it goes on serving."""
        self.state = "draining"
        self._write_entry()
        self.record.add(f"runner {self.id}: draining, accepted by the store")

    def close(self):
        for task in self._tasks:
            task.cancel()
        super().close()

    def _write_entry(self):
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 32_768, "Gpu": 0},
            "Labels": ["a", "r1-1"],
            "ClockMs": int(self.clock_ms()),
            "Sequence": self._sequence,
        }
        if self.state == "draining":
            entry["RemainingMs"] = 3_000
        self._store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            self._advance()

    def _advance(self):
        time_ms = now_ms()
        for run in list(self.runs.values()):
            if run.due_ms <= time_ms:
                how = "stopped" if run.due_ms == run.stop_ms else "done"
                self._end(run, how)
        if self.clock_ms() > self._lease_end_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        self._n_ended += 1
        self.ended.append([self._n_ended, run.task, run.run, how, ""])
        self.spans.append((run.task, run.run, run.started_ms, now_ms(), how))
        self.record.add(f"runner {self.id}: {run.task} run {run.run} ended: {how}")
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, b"{}"
        if path not in ORDER_PATHS:
            return 404, b"{}"
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, b"{}"
        order = json.loads(body)
        self._advance()
        token = order.get("FencingToken", 0)
        if token < self.token:
            return self._answer(409, Reason="fence")
        self.token = token
        if path == "/-/run-start":
            return self._begin(order)
        if path == "/-/run-stop":
            task, number = order["Task"], order["RunId"]
            self._barred[task] = max(self._barred.get(task, 0), number)
            run = self.runs.get(task)
            if run is not None and run.run <= number and run.stop_ms is None:
                run.stop_ms = now_ms() + STOP_MS
            return self._answer(200)
        return await self._hold(order)

    def _begin(self, order):
        task, number = order["Task"], order["RunId"]
        if order["DeadlineMs"] < self.clock_ms():
            return self._answer(409, Reason="late")
        self._extend(order["DeadlineMs"])
        run = self.runs.get(task)
        if run is not None and run.run == number:
            return self._answer(200)
        if number <= self._barred.get(task, 0):
            return self._answer(409, Reason="old")
        step = int(task.split(".")[2])
        duration_ms = json.loads(order["Spec"])["ms"][step]
        self.runs[task] = Run(task, number, duration_ms)
        self.starts.append((now_ms(), task, number))
        self.record.add(
            f"runner {self.id}: start of {task} run {number} ({self.state})"
        )
        return self._answer(200)

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self._lease_end_ms = max(self._lease_end_ms, deadline_ms)

    async def _hold(self, order):
        self.ended = [row for row in self.ended if row[0] > order["LastAcked"]]
        if order.get("DeadlineMs") is not None:
            self._extend(order["DeadlineMs"])
        wait_s = order.get("WaitMs", 0) / 1000.0
        if wait_s and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended_event.wait(), wait_s)
        time_ms = now_ms()
        running = [
            [
                run.task,
                run.run,
                "",
                int(min(99, 100 * (time_ms - run.started_ms) / run.duration_ms)),
                0,
            ]
            for run in self.runs.values()
        ]
        return self._answer(200, Running=running, Ended=self.ended[:500])

    def _answer(self, status, **fields):
        fields = {"ClockMs": int(self.clock_ms()), **fields}
        return status, json.dumps(fields).encode()


class Link:
    """A TCP proxy on the way to one address, which can be cut or reset.

    A cut holds back the data of open connections, as a partition does. It arrives when
    TCP repeats it for the first time after the cut: 0.2, 0.6, 1.4, 3.0, ... s after it
    was first sent. Connections that are opened during a cut pass on nothing.
    """

    def __init__(self, port):
        self.target_port = port
        self.port = 0
        self.is_cut = False
        self.resets_requests = False
        self.cut_senders = set()
        self._server = None
        self._connections = []
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def reset(self, sender=None):
        """Reset the open connections of an instance, or all, and return their number.

        :param sender: address of the instance, which it names when it connects.
        """
        n_reset = 0
        for connection in self._connections:
            if sender in (None, connection["sender"]):
                n_reset += not connection["near"].transport.is_closing()
                for writer in (connection["near"], connection["far"]):
                    reset_connection(writer)
        return n_reset

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset()

    async def _accept(self, reader, writer):
        while self.is_cut:
            # A partition: the connection hangs.
            await asyncio.sleep(0.02)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = {"near": writer, "far": far_writer, "sender": ""}
        self._connections.append(connection)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(self._forward(connection, source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, connection, source, sink):
        try:
            while data := await source.read(65_536):
                if not connection["sender"] and sink is connection["far"]:
                    connection["sender"] = read_sender(data)
                    if self._holds(connection):
                        await self._hold_back(connection)
                        return
                await self._hold_back(connection)
                if self.resets_requests:
                    reset_connection(connection["near"])
                    reset_connection(connection["far"])
                    return
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if connection in self._connections and sink.transport.is_closing():
                self._connections.remove(connection)
            sink.close()

    def _holds(self, connection):
        return self.is_cut or bool(self.cut_senders & {connection["sender"], "*"})

    async def _hold_back(self, connection):
        if not self._holds(connection):
            return
        repeat_ms, interval_ms = now_ms() + RETRANSMIT_MS, RETRANSMIT_MS
        while self._holds(connection) or now_ms() < repeat_ms:
            await asyncio.sleep(0.005)
            if now_ms() >= repeat_ms and self._holds(connection):
                interval_ms *= 2.0
                repeat_ms += interval_ms


def read_sender(data):
    """Return the address that an instance names in its first frame, or ""."""
    if len(data) < 14:
        return ""
    (length,) = struct.unpack_from(">H", data, 12)
    return data[14 : 14 + length].decode("latin-1")


def reset_connection(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def call(port, method, path, host, body=b"", headers=(), timeout_s=30.0):
    """Send one request over a new connection; return status and body, or None."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, _, content = await asyncio.wait_for(read_message(reader), timeout_s)
        return int(first.split(" ")[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Instance:
    """One instance of the program, started with the command of the deploy file."""

    def __init__(self, site, name, ports, seeds):
        self.site = site
        self.name = name
        self.front, self.ready, self.peers, self.metrics = ports
        self.seeds = seeds
        self.peer_link = None
        self.store_link = None
        self.process = None

    def write_settings(self):
        settings = {
            "name": self.name,
            "zone": "zone-a",
            "callers": f"{HOST}:{self.front}",
            "readiness": f"{HOST}:{self.ready}",
            "peers": self.peer_link.address,
            "listen_peers": f"{HOST}:{self.peers}",
            "metrics": f"{HOST}:{self.metrics}",
            "store": self.store_link.address,
            "seeds": self.seeds,
            "cpu_share": 0.537,
            "cores": 2,
            "link_mbps": 1000.0,
            "dispatch": {"max_lateness": 3.0},
        }
        path = os.path.join(self.site.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    async def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": os.path.join(REPO, "target", "deps"),
            "BUCKTHORNSHIFT_CONFIG": self.write_settings(),
        }
        log_path = os.path.join(self.site.folder, f"{self.name}.log")
        with open(log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "buckthornshift.serving",
                cwd=REPO,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def read_state(self):
        """Return what the instance shows to operators."""
        answer = await call(self.metrics, "GET", "/state", "-", timeout_s=3.0)
        return None if answer is None else json.loads(answer[1])


class Site:
    """A small deployment: store, runners, instances, and the links between them."""

    def __init__(self, record, n_instances=3, n_runners=6, service="cash"):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.n_instances = n_instances
        self.n_runners = n_runners
        self.service = service
        self.store = Store()
        self.runners = []
        self.instances = []

    async def start(self, config, timeout_s=20.0):
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for index in range(self.n_runners):
            runner = Runner(
                f"i-{index + 1:04x}{os.getpid():06x}", self.service, self.record
            )
            await runner.join(self.store)
            self.runners.append(runner)
        ports = find_free_ports(4 * self.n_instances)
        for index in range(self.n_instances):
            own = ports[4 * index : 4 * index + 4]
            instance = Instance(self, f"front-{index + 1}", own, [])
            instance.peer_link = Link(own[2])
            instance.store_link = Link(self.store.port)
            await instance.peer_link.start()
            await instance.store_link.start()
            self.instances.append(instance)
        seeds = [instance.peer_link.address for instance in self.instances[:3]]
        for instance in self.instances:
            instance.seeds = seeds
            await instance.start()
        end_ms = now_ms() + 1000.0 * timeout_s
        while now_ms() < end_ms:
            await asyncio.sleep(0.2)
            if await self._is_settled():
                self.record.add(f"{self.n_instances} instances are ready")
                return True
        return False

    async def _is_settled(self):
        for instance in self.instances:
            answer = await call(instance.ready, "GET", "/-/ready", "-", timeout_s=1.0)
            if answer is None or answer[0] != 200:
                return False
            state = await instance.read_state()
            owners = {cell["owner"][0] for cell in state["cells"] if cell["owner"]}
            if None in owners or not owners:
                return False
            if len([p for p in state["peers"] if p["is_live"]]) < self.n_instances - 1:
                return False
        return True

    async def find_owner(self, cell=0):
        """Return the instance that owns a cell."""
        state = await self.instances[0].read_state()
        address = state["cells"][cell]["owner"][0]
        for instance in self.instances:
            if instance.peer_link.address == address:
                return instance
        return None

    async def close(self):
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                await instance.process.wait()
            instance.peer_link.close()
            instance.store_link.close()
        for runner in self.runners:
            runner.close()
        self.store.close()
        shutil.rmtree(self.folder)


def find_free_ports(n_ports):
    """Return free ports below those that outgoing connections take."""
    candidates = random.sample(range(10_000, 30_000), 50 * n_ports)
    ports = []
    for port in candidates:
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == n_ports:
            return ports
    raise OSError("too few free ports")


def make_config(timeout_ms=20_000):
    """Return a configuration with one queue."""
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-pay",
                "Host": "pay.example",
                "PathPrefix": "/pay/",
                "Kind": "unsafe",
                "TimeoutMs": timeout_ms,
                "TargetCompletionMs": 60,
                "Priority": 0,
                "Service": "cash",
                "MaxAttempts": 3,
                "Stretch": 1.6,
            }
        ],
        "Services": [
            {
                "Name": "cash",
                "HealthPath": "/health",
                "MaxConns": 64,
                "Protocol": "h1",
                "Tls": False,
                "EnforceCapacity": False,
                "Standby": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 262_144,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    }


def run_case(case, folder):
    """Run a case; exit with 0 if the rule held, 1 if it broke, 2 if it couldn't run.

    :param case: coroutine function; takes the record and whether there is trouble, and
        returns True if the rule held, False if it broke, None if it couldn't run.
    :param folder: folder of the case.
    """
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110.0))
    except Exception as error:  # the case could not run
        record.add(f"the case could not run: {error!r}")
        held = None
    record.add({True: "held", False: "BROKEN", None: "could not run"}[held])
    record.write()
    print(record.lines[-1])
    sys.exit({True: 0, False: 1, None: 2}[held])
