"""Start and stop dispatching instances as real processes.

Signals go only to the ids of processes that were started here.
"""

import asyncio
import json
import os
import signal
import sys

import attrs

from ._ports import find_free_ports
from ._proxy import FaultyProxy

RESTART_DELAY_S = 0.3
EXIT_TIMEOUT_S = 8.0
# Instances that the others reach through a proxy. All proxies share one process, which
# forwards some 5,000 messages a second; while there is no owner, every instance sends
# ten a second to each other one.
MAX_PROXIED = 12


@attrs.define(kw_only=True, eq=False)
class Instance:
    """A dispatching instance with its ports, files and current process.

    :param name: its name.
    :param ports: TCP ports for callers, readiness, peers and metrics, in this order.
    :param peer_proxy: the :class:`FaultyProxy` through which other instances reach it,
        or ``None`` if they reach it directly.
    :param settings_path: path of its settings file.
    :param log_path: path of its log file.
    :param process: the latest process, or ``None`` before the first.
    :param generation: number of processes started so far.
    :param is_stopping: whether the current process was asked to stop.
    :param was_killed_or_paused: whether the current process was sent SIGKILL or
        SIGSTOP.
    """

    name: str = ""
    ports: list = attrs.field(factory=list)
    peer_proxy: object = None
    settings_path: str = ""
    log_path: str = ""
    process: object = None
    generation: int = 0
    is_stopping: bool = False
    was_killed_or_paused: bool = False

    @property
    def is_up(self):
        """Whether its process has not exited; a paused one counts as up."""
        return self.process is not None and self.process.returncode is None


class InstanceGroup:
    """Run a group of dispatching instances on the loopback interface.

    A process that exits is replaced until the group is closed.

    :param n_instances: number of instances.
    :param folder: folder for settings and log files.
    :param store: ``host:port`` of the store.
    :param cell_servers: maximum number of servers of one owner.
    """

    def __init__(self, n_instances=3, folder="", store="", cell_servers=256):
        self.n_instances = n_instances
        self.folder = folder
        self.store = store
        self.cell_servers = cell_servers
        self.by_name = {}
        self._restart_tasks = set()
        self._is_closing = False

    async def start(self):
        """Write the settings files and start every proxy and process."""
        ports = find_free_ports(4 * self.n_instances)
        proxies, addresses = [], []
        for index in range(self.n_instances):
            peer_port = ports[4 * index + 2]
            proxy = None
            if index < MAX_PROXIED:
                proxy = FaultyProxy(port=peer_port)
                await proxy.start()
                peer_port = proxy.bound_port
            proxies.append(proxy)
            addresses.append(f"127.0.0.1:{peer_port}")
        for index, proxy in enumerate(proxies):
            instance_ports = ports[4 * index : 4 * index + 4]
            instance = self._make_instance(index, instance_ports, proxy, addresses)
            self.by_name[instance.name] = instance
            await self.start_instance(instance)

    def list_proxied(self):
        """Return the instances that the others reach through a proxy."""
        return [i for i in self.by_name.values() if i.peer_proxy is not None]

    async def start_instance(self, instance):
        """Start a new process of an instance."""
        instance.generation += 1
        instance.is_stopping = instance.was_killed_or_paused = False
        with open(instance.log_path, "ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "buckthornshift.serving",
                instance.settings_path,
                stdout=log,
                stderr=log,
            )
        restart_task = asyncio.ensure_future(self._restart_on_exit(instance))
        self._restart_tasks.add(restart_task)
        restart_task.add_done_callback(self._restart_tasks.discard)

    def send(self, instance, signal_number):
        """Send a signal to the process of an instance, unless it has exited.

        :param instance: the :class:`Instance`.
        :param signal_number: one of the constants of :mod:`signal`.
        """
        if signal_number in (signal.SIGKILL, signal.SIGSTOP):
            instance.was_killed_or_paused = True
        if instance.is_up:
            os.kill(instance.process.pid, signal_number)

    async def close(self):
        """Stop every process of the group; kill those that do not exit in time."""
        self._is_closing = True
        for instance in self.by_name.values():
            self.send(instance, signal.SIGCONT)
            self.send(instance, signal.SIGTERM)
        for instance in self.by_name.values():
            if instance.process is None:
                continue
            try:
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    await instance.process.wait()
            except TimeoutError:
                self.send(instance, signal.SIGKILL)
                await instance.process.wait()
        for instance in self.list_proxied():
            instance.peer_proxy.close()
        for task in self._restart_tasks:
            task.cancel()
        await asyncio.gather(*self._restart_tasks, return_exceptions=True)

    async def _restart_on_exit(self, instance):
        await instance.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        if not self._is_closing:
            await self.start_instance(instance)

    def _make_instance(self, index, ports, proxy, addresses):
        name = f"dispatcher-{index}"
        callers, readiness, listen, metrics = (f"127.0.0.1:{port}" for port in ports)
        settings = {
            "name": name,
            "zone": "zone-a",
            "callers": callers,
            "readiness": readiness,
            "peers": addresses[index],
            "listen_peers": listen,
            "metrics": metrics,
            "store": self.store,
            "seeds": addresses,
            "dispatch": {"cell_servers": self.cell_servers},
        }
        settings_path = os.path.join(self.folder, f"{name}.jsonc")
        with open(settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return Instance(
            name=name,
            ports=ports,
            peer_proxy=proxy,
            settings_path=settings_path,
            log_path=os.path.join(self.folder, f"{name}.log"),
        )
