"""Start dispatching instances as processes, with stand-ins around them on loopback.

The platform and the backend servers are the project's own stand-ins. They run in the
process of the script; the instances are processes started with the command of the
deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import types

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPS)]


def _skip_package_init(name):
    """Register a package without running its ``__init__``.

    That of the stand-ins imports libraries that the deploy file doesn't install.
    """
    package = types.ModuleType(name)
    package.__path__ = [str(ROOT.joinpath(*name.split(".")))]
    sys.modules[name] = package


_skip_package_init("buckthornshift.standins")

import attrs  # noqa: E402

from buckthornshift.dispatch import Configuration, Queue, Resources  # noqa: E402
from buckthornshift.standins._fleet_platform import FleetPlatform  # noqa: E402

# "After no response, a broken connection, 502 or 504, the job is sent again `ResendMs`
# later, to any daemon" (PROTOCOL.md); 1,300 ms on every sheet.
RESEND_S = 1.3
RESTART_DELAY_S = 0.3
LOOKUP_DELAY_S = 0.005
SERVICE = "gearcalc"
HOST = "desk.example"
# A worker of about 32 cores and 128 GB, and a task on about 14 cores.
CAPACITY = Resources(cpu=32_000, memory_mb=131_072)
TASK_CPU = 14_000


def has_trouble():
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_ports(n_ports):
    """Return free TCP ports, below those that outgoing connections get."""
    random_state = random.SystemRandom()
    ports = []
    while len(ports) < n_ports:
        port = random_state.randrange(12_000, 30_000)
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        path = pathlib.Path(folder) / "record.txt"
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


class Observer:
    """Write the runs of the servers to the record, and keep them."""

    def __init__(self, record):
        self.record = record
        self.runs = []

    def on_run_started(self, server, run, command):
        """Note a run that a server has begun."""
        entry = {
            "task": run.task,
            "run": run.run,
            "server": server.server_id,
            "start_s": self.record.now_s(),
            "end_s": None,
            "how": None,
        }
        self.runs.append(entry)
        self.record.write(f"server {server.server_id} starts {run.task} run {run.run}")

    def on_run_ended(self, server, run, kind):
        """Note the end of a run."""
        self._end(server, run, str(kind))

    def on_run_aborted(self, server, run):
        """Note a run that is lost with its server."""
        self._end(server, run, "lost with its server")

    def _end(self, server, run, how):
        for entry in reversed(self.runs):
            is_same = (entry["task"], entry["run"]) == (run.task, run.run)
            if is_same and entry["server"] == server.server_id:
                entry["end_s"] = self.record.now_s()
                entry["how"] = how
                break
        self.record.write(
            f"server {server.server_id} ended {run.task} run {run.run}: {how}"
        )


class PeerLink:
    """Forward the connections to one instance from the others; some may be cut.

    The first frame of a connection names its sender.
    """

    def __init__(self, target_port, may_pass):
        self.target_port = target_port
        self.may_pass = may_pass
        self.port = 0
        self._open = []
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset the connections that may not pass."""
        for sender, writers in self._open:
            if not self.may_pass(sender, self.port):
                for writer in writers:
                    _reset(writer)

    def reset_from(self, sender):
        """Reset the connections of one sender."""
        for other, writers in self._open:
            if other == sender:
                for writer in writers:
                    _reset(writer)

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for _, writers in self._open:
            for writer in writers:
                _reset(writer)
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        try:
            head = await reader.readexactly(4)
            (length,) = struct.unpack(">I", head)
            frame = await reader.readexactly(length)
            _, n_bytes = struct.unpack_from(">QH", frame)
            sender = int(frame[10 : 10 + n_bytes].rpartition(b":")[2])
            if not self.may_pass(sender, self.port):
                _reset(writer)
                return
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except (OSError, asyncio.IncompleteReadError):
            _reset(writer)
            return
        target_reader, target_writer = target
        if not self.may_pass(sender, self.port):
            _reset(writer)
            _reset(target_writer)
            return
        entry = (sender, (writer, target_writer))
        self._open.append(entry)
        target_writer.write(head + frame)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.ensure_future(self._forward(source, sink, entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, entry):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            if entry in self._open:
                self._open.remove(entry)


def _reset(writer):
    sock = writer.transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class ServerLink:
    """Forward the connections of instances to one backend server; some may be cut.

    The sender is found by its port among the sockets of the instances' processes.
    """

    def __init__(self, target_port, zone, find_sender, may_pass):
        self.target_port = target_port
        self.zone = zone
        self.find_sender = find_sender
        self.may_pass = may_pass
        self.port = 0
        self._open = []
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset the connections that may not pass."""
        for sender, writers in self._open:
            if not self.may_pass(sender, self.zone):
                for writer in writers:
                    _reset(writer)

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for _, writers in self._open:
            for writer in writers:
                _reset(writer)
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        sender = await self.find_sender(writer.get_extra_info("peername")[1])
        try:
            if not self.may_pass(sender, self.zone):
                _reset(writer)
                return
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            _reset(writer)
            return
        target_reader, target_writer = target
        entry = (sender, (writer, target_writer))
        self._open.append(entry)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.ensure_future(self._forward(source, sink, entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, entry):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
            if entry in self._open:
                self._open.remove(entry)


def _map_ports(pids):
    """Return the process that holds each local port, for some of our own processes."""
    pid_by_inode = {}
    for pid in pids:
        folder = f"/proc/{pid}/fd"
        with contextlib.suppress(OSError):
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    target = os.readlink(f"{folder}/{name}")
                    if target.startswith("socket:["):
                        pid_by_inode[target[8:-1]] = pid
    pid_by_port = {}
    with open("/proc/net/tcp", encoding="ascii") as file:
        for line in file:
            fields = line.split()
            pid = pid_by_inode.get(fields[9])
            if pid is not None:
                pid_by_port[int(fields[1].rpartition(":")[2], 16)] = pid
    return pid_by_port


class ZonedPlatform(FleetPlatform):
    """The project's stand-in, with backend servers in several zones."""

    def __init__(self, zones=(), **arguments):
        super().__init__(**arguments)
        self.zones = zones
        self.zone_by_port = {}

    async def add_server(self, index):
        """Start a server with the room that the sheet names, and register it."""
        self._n_servers_started += 1
        server_id = f"i-{self._n_servers_started:04d}"
        await self._start_server(server_id, index, capacity=CAPACITY)

    def register_server(self, server):
        """Write the entry of a server with its zone."""
        zone = self.zone_by_port.get(server.record.port, self.zones[0])
        server.record = attrs.evolve(server.record, zone=zone)
        super().register_server(server)


class Instance:
    """A dispatching instance and its current process."""

    def __init__(self, name, zone, ports, folder):
        self.name = name
        self.zone = zone
        self.callers, self.readiness, self.listen_peers, self.metrics = ports
        self.link = None
        self.peers = self.listen_peers
        self.folder = folder
        self.process = None

    @property
    def settings_path(self):
        """Path of its settings file."""
        return os.path.join(self.folder, f"{self.name}.jsonc")


class System:
    """A small deployment: a store, backend servers and dispatching instances."""

    def __init__(
        self,
        folder,
        n_servers=12,
        zones=("zone-a", "zone-b", "zone-c"),
        plan_run=None,
        has_links=False,
        has_server_links=False,
        queues=None,
    ):
        self.record = Record(folder)
        self.observer = Observer(self.record)
        self.zones = zones
        self.has_links = has_links
        self.cut = set()
        self.cut_zones = set()
        self.instances = []
        self.folder = tempfile.mkdtemp(prefix="buckthornshift-review-")
        self.configuration = Configuration(version=1, queues=tuple(queues))
        self.server_links = []
        self._lookups = []
        self.has_server_links = has_server_links
        self.platform = ZonedPlatform(
            zones=tuple(dict.fromkeys(zones)),
            configuration=self.configuration,
            service=SERVICE,
            n_servers=n_servers,
            plan_run=plan_run,
            observer=self.observer,
            open_proxy=self._open_server_link if has_server_links else None,
        )

    async def _open_server_link(self, port):
        zones = self.platform.zones
        zone = zones[len(self.server_links) % len(zones)]
        link = ServerLink(port, zone, self.find_instance, self.may_reach)
        await link.start()
        self.server_links.append(link)
        self.platform.zone_by_port[link.port] = zone
        return link.port

    async def find_instance(self, port):
        """Return the instance whose process holds the socket with a local port.

        Requests of some milliseconds share one look at the processes.
        """
        future = asyncio.get_running_loop().create_future()
        self._lookups.append((port, future))
        if len(self._lookups) == 1:
            asyncio.ensure_future(self._look_up_ports())
        return await future

    async def _look_up_ports(self):
        await asyncio.sleep(LOOKUP_DELAY_S)
        lookups, self._lookups = self._lookups, []
        instance_by_pid = {
            instance.process.pid: instance
            for instance in self.instances
            if instance.process is not None
        }
        pid_by_port = await asyncio.to_thread(_map_ports, list(instance_by_pid))
        for port, future in lookups:
            if not future.done():
                future.set_result(instance_by_pid.get(pid_by_port.get(port)))

    def may_reach(self, instance, zone):
        """Return whether an instance reaches the backend servers of a zone."""
        return (
            instance is None
            or (instance.zone == zone)
            or (not {instance.zone, zone} & self.cut_zones)
        )

    def cut_zone(self, zones):
        """Cut zones off from the others, and reset the connections between them."""
        self.cut_zones = set(zones)
        for instance in self.instances:
            instance.link.reset()
        for link in self.server_links:
            link.reset()

    async def start(self):
        """Start the stand-ins and all instances; wait until they are ready."""
        await self.platform.start()
        ports = find_free_ports(4 * len(self.zones))
        for index, zone in enumerate(self.zones):
            own_ports = ports[4 * index : 4 * index + 4]
            instance = Instance(
                f"front-{zone}-{index + 1}", zone, own_ports, self.folder
            )
            if self.has_links:
                instance.link = PeerLink(instance.listen_peers, self.may_pass)
                await instance.link.start()
                instance.peers = instance.link.port
            self.instances.append(instance)
        for instance in self.instances:
            self._write_settings(instance)
            await self.start_instance(instance)
        await self.wait_until_ready()

    def may_pass(self, sender, receiver):
        """Return whether messages pass from one instance to another."""
        zone_by_port = {instance.peers: instance.zone for instance in self.instances}
        zones = {zone_by_port.get(sender), zone_by_port.get(receiver)}
        is_between_zones = len(zones) > 1 and bool(zones & self.cut_zones)
        return not is_between_zones and not {sender, receiver} & self.cut

    def reset_peer_connections(self, sender, receiver):
        """Reset the connections from one instance to another; new ones work."""
        receiver.link.reset_from(sender.peers)

    def cut_off(self, instances):
        """Cut instances off from all others, and reset their connections."""
        self.cut = {instance.peers for instance in instances}
        for instance in self.instances:
            instance.link.reset()

    async def start_instance(self, instance):
        """Start a process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BUCKTHORNSHIFT_CONFIG": instance.settings_path,
        }
        with open(os.path.join(self.folder, f"{instance.name}.log"), "ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "buckthornshift.serving",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{instance.name} is started")

    def send_signal(self, instance, number):
        """Send a signal to the process of an instance."""
        self.record.write(f"{instance.name} gets {signal.Signals(number).name}")
        os.kill(instance.process.pid, number)

    async def kill_all(self):
        """Kill all processes and start them again, as the platform does."""
        for instance in self.instances:
            self.send_signal(instance, signal.SIGKILL)
        for instance in self.instances:
            await instance.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for instance in self.instances:
            await self.start_instance(instance)

    async def wait_until_ready(self, limit_s=10.0):
        """Wait until every instance reports itself ready."""
        for instance in self.instances:
            end_s = time.monotonic() + limit_s
            while await self._read_readiness(instance) != 200:
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{instance.name} isn't ready")
                await asyncio.sleep(0.1)

    async def close(self):
        """End all processes that were started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                await instance.process.wait()
            if instance.link is not None:
                instance.link.close()
        for link in self.server_links:
            link.close()
        self.platform.close()
        # Lets connections that were just accepted end before the event loop does.
        await asyncio.sleep(0.2)
        if os.environ.get("KEEP_LOGS"):
            self.record.say(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def find_owner(self):
        """Return the instance that owns the servers, by its state dump."""
        for instance in self.instances:
            with contextlib.suppress(CallError):
                _, body = await call(instance.metrics, "GET", "/state", timeout_s=2.0)
                cells = json.loads(body)["cells"]
                own = f"127.0.0.1:{instance.peers}"
                if any(cell["owner"] and cell["owner"][0] == own for cell in cells):
                    return instance
        return None

    async def _read_readiness(self, instance):
        try:
            status, _ = await call(instance.readiness, "GET", "/-/ready", timeout_s=1.0)
        except CallError:
            return 0
        return status

    def _write_settings(self, instance):
        settings = {
            "name": instance.name,
            "zone": instance.zone,
            "callers": f"127.0.0.1:{instance.callers}",
            "readiness": f"127.0.0.1:{instance.readiness}",
            "peers": f"127.0.0.1:{instance.peers}",
            "metrics": f"127.0.0.1:{instance.metrics}",
            "store": f"127.0.0.1:{self.platform.store.port}",
            "seeds": [f"127.0.0.1:{i.peers}" for i in self.instances[:3]],
            "cpu_share": 0.537,
            "cores": 2,
            "link_mbps": 1000.0,
            "dispatch": {"max_lateness": 3.0},
        }
        if instance.link is not None:
            settings["listen_peers"] = f"127.0.0.1:{instance.listen_peers}"
        with open(instance.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)


class CannotRunError(Exception):
    """The case couldn't run."""


class CallError(Exception):
    """A request got no complete response."""


async def call(port, method, path, body=b"", headers=(), timeout_s=10.0):
    """Send one HTTP request over a new connection; return status and body."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += ["Content-Type: application/json"] if body else []
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return status, await reader.readexactly(length)
    except (OSError, TimeoutError, IndexError, ValueError, EOFError) as error:
        raise CallError(repr(error)) from error
    finally:
        if writer is not None:
            writer.close()


def make_queue(name, prefix, priority=0, max_attempts=3):
    """Return a queue as the sheets have it."""
    return Queue(
        name=name,
        host=HOST,
        path_prefix=prefix,
        service=SERVICE,
        priority=priority,
        max_attempts=max_attempts,
        stretch=1.6,
        target_ms=60.0,
        timeout_ms=60_000.0,
    )


def make_job(n_tasks, estimate_ms, cpu=TASK_CPU, mem_mb=64):
    """Return the body of a submission."""
    step = {"TaskCount": n_tasks, "Cpu": cpu, "MemMb": mem_mb}
    job = {"Spec": "gear 17", "Steps": [step | {"EstimateMs": estimate_ms}]}
    return json.dumps(job | {"BestEffort": True}).encode()


def make_job_id(random_state):
    """Return a job id."""
    return f"{random_state.getrandbits(64):016x}"


__all__ = [
    "CallError",
    "CannotRunError",
    "Resources",
    "System",
    "call",
    "has_trouble",
    "make_job",
    "make_job_id",
    "make_queue",
]
