"""Dispatching instances as real processes, ended only by their ids."""

import asyncio
import json
import os
import signal
import socket
import sys

import attrs

from ._proxy import FaultyProxy

RESTART_S = 0.3
EXIT_PATIENCE_S = 8.0
# Instances that others reach through a proxy. The proxies run in one process, which
# carries some 5,000 messages a second; every instance sends each other one ten a second
# while there is no owner.
MAX_PROXIED = 12


def find_free_ports(n_ports):
    """Return TCP ports of loopback that are free now."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@attrs.define(kw_only=True, eq=False)
class Instance:
    """One instance: its ports, its settings, and the process that runs now.

    :param name: its name.
    :param ports: for callers, readiness, peers and metrics.
    :param peer_proxy: the :class:`FaultyProxy` through which other instances reach it,
        or ``None`` if they reach it directly.
    :param settings_path: path of its settings.
    :param log_path: path of its log.
    :param process: the process, or ``None``.
    :param generation: counts its processes.
    :param is_stopping: whether it was asked to stop.
    :param was_killed_or_paused: whether it was killed or paused in this life.
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
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


class InstanceGroup:
    """Instances on loopback.

    :param n_instances: how many.
    :param folder: folder for settings and logs.
    :param store: ``host:port`` of the store.
    :param cell_servers: most servers of one owner.
    """

    def __init__(self, n_instances=3, folder="", store="", cell_servers=256):
        self.n_instances = n_instances
        self.folder = folder
        self.store = store
        self.cell_servers = cell_servers
        self.by_name = {}
        self._watchers = set()
        self._is_closing = False

    async def start(self):
        """Write the settings and start every process."""
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
            of_instance = ports[4 * index : 4 * index + 4]
            instance = self._make(index, of_instance, proxy, addresses)
            self.by_name[instance.name] = instance
            await self.start_instance(instance)

    def list_proxied(self):
        """Return the instances that others reach through a proxy."""
        return [i for i in self.by_name.values() if i.peer_proxy is not None]

    async def start_instance(self, instance):
        """Start a process of an instance."""
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
        watcher = asyncio.ensure_future(self._watch(instance))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)

    def send(self, instance, number):
        """Send a signal to the process of an instance, if it runs."""
        if number in (signal.SIGKILL, signal.SIGSTOP):
            instance.was_killed_or_paused = True
        if instance.is_up:
            os.kill(instance.process.pid, number)

    async def close(self):
        """End every process that this group started."""
        self._is_closing = True
        for instance in self.by_name.values():
            self.send(instance, signal.SIGCONT)
            self.send(instance, signal.SIGTERM)
        for instance in self.by_name.values():
            if instance.process is None:
                continue
            try:
                async with asyncio.timeout(EXIT_PATIENCE_S):
                    await instance.process.wait()
            except TimeoutError:
                self.send(instance, signal.SIGKILL)
                await instance.process.wait()
        for instance in self.list_proxied():
            instance.peer_proxy.close()

    async def _watch(self, instance):
        await instance.process.wait()
        await asyncio.sleep(RESTART_S)
        if not self._is_closing:
            await self.start_instance(instance)

    def _make(self, index, ports, proxy, addresses):
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
