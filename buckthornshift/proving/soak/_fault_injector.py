"""Inject faults into a soak test: signals to processes, network, store, servers."""

import asyncio
import signal

import attrs

from ...standins import StoreFaults, TaskServerFaults
from ._proxy import LinkState

FAULT_INTERVAL_S = (0.2, 1.5)
FAULT_LENGTH_S = (0.1, 2.0)
ROLLING_STOP_INTERVAL_S = 0.8
SERVER_FAULTS = (
    TaskServerFaults(slow_factor=5.0),
    TaskServerFaults(fails=True),
    TaskServerFaults(hangs=True),
)
STORE_FAULTS = (
    StoreFaults(is_away=True),
    StoreFaults(refused_share=0.5),
    StoreFaults(lost_share=0.3),
)
LATE_ORDER_SHARE = 0.05


class SoakFaultInjector:
    """Begin faults at random times; each ends by itself, and they may overlap.

    The method names of the faults are the kinds that the report counts.

    :param instances: the :class:`InstanceGroup`.
    :param platform: the :class:`~buckthornshift.standins.FleetPlatform`.
    :param store_proxy: the :class:`FaultyProxy` in front of the store.
    :param server_proxies: list of the :class:`FaultyProxy` in front of the servers.
    :param report: the :class:`SoakReport` in which faults are counted.
    :param random_state: the :class:`random.Random` that faults are drawn from.
    """

    def __init__(
        self,
        instances=None,
        platform=None,
        store_proxy=None,
        server_proxies=None,
        report=None,
        random_state=None,
    ):
        self.instances = instances
        self.platform = platform
        self.store_proxy = store_proxy
        self.server_proxies = server_proxies
        self.report = report
        self.random_state = random_state
        self._running_faults = set()

    async def run(self):
        """Begin random faults, one after another, until cancelled."""
        kinds = (
            self.kill,
            self.stop,
            self.pause,
            self.hang_up,
            self.roll,
            self.kill_all,
            self.spoil_store_link,
            self.spoil_store,
            self.forget_history,
            self.spoil_peer_link,
            self.reset_peer_links,
            self.spoil_server_link,
            self.silence_server,
            self.spoil_server,
            self.replace_server,
            self.carry_out_late,
            self.change_configuration,
        )
        while True:
            await asyncio.sleep(self.random_state.uniform(*FAULT_INTERVAL_S))
            kind = self.random_state.choice(kinds)
            self.report.count_fault(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._running_faults.add(task)
            task.add_done_callback(self._running_faults.discard)

    async def wait_until_ended(self):
        """Wait until every fault has ended."""
        await asyncio.gather(*self._running_faults)

    async def kill(self):
        """Kill a random instance."""
        self.instances.send(self._draw_instance(), signal.SIGKILL)

    async def kill_all(self):
        """Kill every instance at once."""
        for instance in self.instances.by_name.values():
            self.instances.send(instance, signal.SIGKILL)

    async def stop(self):
        """Stop a random instance gracefully."""
        self._stop_instance(self._draw_instance())

    async def roll(self):
        """Stop every instance gracefully in turn, as in a rolling restart."""
        for instance in list(self.instances.by_name.values()):
            self._stop_instance(instance)
            await asyncio.sleep(ROLLING_STOP_INTERVAL_S)

    async def pause(self):
        """Suspend the process of a random instance for a while."""
        instance = self._draw_instance()
        self.instances.send(instance, signal.SIGSTOP)
        await self._wait_fault_length()
        self.instances.send(instance, signal.SIGCONT)

    async def hang_up(self):
        """Send SIGHUP to a random instance, as when its settings file has changed.

        The instance only logs the signal and keeps its settings.
        """
        self.instances.send(self._draw_instance(), signal.SIGHUP)

    async def spoil_store_link(self):
        """Slow down, stall or reset the connections to the store."""
        await self._degrade_link(self.store_proxy)

    async def spoil_store(self):
        """Let the store reject calls or leave reads unanswered for a while."""
        self.platform.store.faults = self.random_state.choice(STORE_FAULTS)
        await self._wait_fault_length()
        self.platform.store.faults = StoreFaults()

    async def forget_history(self):
        """Let the store discard its history."""
        self.platform.store.forget_history()

    async def spoil_peer_link(self):
        """Slow down, stall or reset the connections of other instances to one."""
        await self._degrade_link(self._draw_proxied().peer_proxy)

    async def reset_peer_links(self):
        """Reset the connections of other instances to a random one."""
        self._draw_proxied().peer_proxy.reset_all()

    async def spoil_server_link(self):
        """Slow down, stall or reset the connections to a random server."""
        await self._degrade_link(self.random_state.choice(self.server_proxies))

    async def silence_server(self):
        """Let a server accept commands without executing them or responding."""
        server = self._draw_server()
        server.is_silent = True
        await self._wait_fault_length()
        server.is_silent = False

    async def spoil_server(self):
        """Let the tasks of a server run slowly, fail or hang for a while."""
        server = self._draw_server()
        server.model.faults = self.random_state.choice(SERVER_FAULTS)
        await self._wait_fault_length()
        server.model.faults = TaskServerFaults()

    async def replace_server(self):
        """Kill a server and add a new one later."""
        server = self._draw_server()
        self.platform.kill_server(server)
        await self._wait_fault_length()
        await self.platform.add_server(self.random_state.randrange(3))

    async def carry_out_late(self):
        """Let all servers leave some commands unanswered and execute them late."""
        for server in self.platform.servers_by_id.values():
            server.late_probability = LATE_ORDER_SHARE
        await self._wait_fault_length()
        for server in self.platform.servers_by_id.values():
            server.late_probability = 0.0

    async def change_configuration(self):
        """Publish configurations in quick succession."""
        for _ in range(self.random_state.randint(1, 4)):
            configuration = self.platform.configuration
            version = configuration.version + 2
            self.platform.publish(attrs.evolve(configuration, version=version))
            await asyncio.sleep(0.1)

    def _stop_instance(self, instance):
        instance.is_stopping = True
        self.instances.send(instance, signal.SIGTERM)

    async def _degrade_link(self, proxy):
        if self.random_state.random() < 0.3:
            proxy.reset_all()
        proxy.state = self.random_state.choice(list(LinkState))
        await self._wait_fault_length()
        proxy.state = LinkState.OPEN

    async def _wait_fault_length(self):
        await asyncio.sleep(self.random_state.uniform(*FAULT_LENGTH_S))

    def _draw_instance(self):
        return self.random_state.choice(list(self.instances.by_name.values()))

    def _draw_proxied(self):
        return self.random_state.choice(self.instances.list_proxied())

    def _draw_server(self):
        return self.random_state.choice(list(self.platform.servers_by_id.values()))
