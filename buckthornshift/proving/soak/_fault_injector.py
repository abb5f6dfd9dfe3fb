"""Faults of a soak, from outside the processes: signals, links, store, servers."""

import asyncio
import signal

import attrs

from ...standins import StoreFaults, TaskServerFaults
from ._proxy import LinkState

PAUSE_S = (0.2, 1.5)
LENGTH_S = (0.1, 2.0)
ROLL_GAP_S = 0.8
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
LATE_SHARE = 0.05


class SoakFaultInjector:
    """Bring about faults at random; they overlap, and each ends by itself.

    :param instances: the :class:`InstanceGroup`.
    :param platform: the :class:`~buckthornshift.standins.FleetPlatform`.
    :param store_proxy: the proxy before the store.
    :param server_proxies: the proxies before the servers.
    :param report: the :class:`SoakReport`.
    :param random_state: a :class:`random.Random`.
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
        self._open = set()

    async def run(self):
        """Bring about one fault after another until cancelled."""
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
            await asyncio.sleep(self.random_state.uniform(*PAUSE_S))
            kind = self.random_state.choice(kinds)
            self.report.count_fault(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def wait_until_ended(self):
        """Wait for the end of every fault."""
        await asyncio.gather(*self._open)

    async def kill(self):
        """Kill an instance."""
        self.instances.send(self._draw_instance(), signal.SIGKILL)

    async def kill_all(self):
        """Kill every instance at once."""
        for instance in self.instances.by_name.values():
            self.instances.send(instance, signal.SIGKILL)

    async def stop(self):
        """Stop an instance gracefully."""
        self._stop(self._draw_instance())

    async def roll(self):
        """Stop every instance in turn."""
        for instance in list(self.instances.by_name.values()):
            self._stop(instance)
            await asyncio.sleep(ROLL_GAP_S)

    async def pause(self):
        """Let an instance stand still."""
        instance = self._draw_instance()
        self.instances.send(instance, signal.SIGSTOP)
        await self._last()
        self.instances.send(instance, signal.SIGCONT)

    async def hang_up(self):
        """Tell an instance that its settings have changed."""
        self.instances.send(self._draw_instance(), signal.SIGHUP)

    async def spoil_store_link(self):
        """Delay, silence or reset the path to the store."""
        await self._spoil_link(self.store_proxy)

    async def spoil_store(self):
        """Let the store refuse calls, or lose its answers."""
        self.platform.store.faults = self.random_state.choice(STORE_FAULTS)
        await self._last()
        self.platform.store.faults = StoreFaults()

    async def forget_history(self):
        """Let the store forget its history."""
        self.platform.store.forget_history()

    async def spoil_peer_link(self):
        """Delay or silence what other instances send to one."""
        await self._spoil_link(self._draw_proxied().peer_proxy)

    async def reset_peer_links(self):
        """Reset the connections of other instances to one."""
        self._draw_proxied().peer_proxy.reset_all()

    async def spoil_server_link(self):
        """Delay, silence or reset the path to a server."""
        await self._spoil_link(self.random_state.choice(self.server_proxies))

    async def silence_server(self):
        """Let a server take orders and neither do nor answer anything."""
        server = self._draw_server()
        server.is_silent = True
        await self._last()
        server.is_silent = False

    async def spoil_server(self):
        """Let a server slow down, fail or hang what it starts."""
        server = self._draw_server()
        server.model.faults = self.random_state.choice(SERVER_FAULTS)
        await self._last()
        server.model.faults = TaskServerFaults()

    async def replace_server(self):
        """End a server without warning; another one comes later."""
        server = self._draw_server()
        self.platform.kill_server(server)
        await self._last()
        await self.platform.add_server(self.random_state.randrange(3))

    async def carry_out_late(self):
        """Let servers leave some orders unanswered and carry them out late."""
        for server in self.platform.servers_by_id.values():
            server.late_probability = LATE_SHARE
        await self._last()
        for server in self.platform.servers_by_id.values():
            server.late_probability = 0.0

    async def change_configuration(self):
        """Publish configurations in quick succession."""
        for _ in range(self.random_state.randint(1, 4)):
            configuration = self.platform.configuration
            version = configuration.version + 2
            self.platform.publish(attrs.evolve(configuration, version=version))
            await asyncio.sleep(0.1)

    def _stop(self, instance):
        instance.is_stopping = True
        self.instances.send(instance, signal.SIGTERM)

    async def _spoil_link(self, proxy):
        if self.random_state.random() < 0.3:
            proxy.reset_all()
        proxy.state = self.random_state.choice(list(LinkState))
        await self._last()
        proxy.state = LinkState.OPEN

    async def _last(self):
        await asyncio.sleep(self.random_state.uniform(*LENGTH_S))

    def _draw_instance(self):
        return self.random_state.choice(list(self.instances.by_name.values()))

    def _draw_proxied(self):
        return self.random_state.choice(self.instances.list_proxied())

    def _draw_server(self):
        return self.random_state.choice(list(self.platform.servers_by_id.values()))
