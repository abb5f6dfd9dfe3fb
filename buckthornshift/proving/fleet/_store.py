"""The platform's store in a simulated run: what operators and servers write there."""

from ...dispatch import (
    Configuration,
    ConfigurationRead,
    Evacuations,
    EvacuationsRead,
    InstancesFound,
    ServersRead,
)

POLL_INTERVAL_MS = 300.0
DELAY_MS = 4.0


class SimulatedStore:
    """Hold what operators declare, and deliver it to the instances that can read it.

    :param world: the :class:`FleetWorld`.
    """

    def __init__(self, world=None):
        self.world = world
        self.configuration = self._make_configuration(1)
        self.evacuations = Evacuations()
        self.is_down = False
        self.cut_off_instances = set()
        # Offset of the next record of operators; the configuration is the first.
        self._operators_offset = 1

    def change_configuration(self):
        """Publish a new version of the configuration, as an operator does."""
        self.configuration = self._make_configuration(self.configuration.version + 3)
        self._operators_offset += 1

    def evacuate(self, zone, is_on=True):
        """Start or end the evacuation of a zone, as an operator does.

        :param zone: name of the zone; no server needs to be there.
        :param is_on: whether the zone is evacuated from now on.
        """
        self._operators_offset += 1
        zones = set(self.evacuations.zones) - {zone} | ({zone} if is_on else set())
        self.evacuations = Evacuations(
            version=self._operators_offset, zones=tuple(sorted(zones))
        )
        self.world.evacuation_watch.record(zones)

    def can_read(self, instance):
        """Return whether an instance runs and can read the store."""
        is_cut = instance.name in self.cut_off_instances
        return not (self.is_down or is_cut or instance.is_frozen)

    def list_servers(self):
        """Return the records of the listed servers."""
        servers = self.world.servers_by_id.values()
        return tuple(server.record for server in servers if server.is_listed)

    def poll(self, instance, key):
        """Let an instance read what it follows, now and at an interval."""
        if instance.core is None or instance.key != key:
            return
        if self.can_read(instance):
            self._read_evacuations(instance, key)
            event = ConfigurationRead(configuration=self.configuration)
            self._deliver(instance, key, event)
            if instance.is_watching_servers or not instance.core.fleet.by_id:
                event = ServersRead(servers=self.list_servers(), age_ms=DELAY_MS)
                self._deliver(instance, key, event)
        self.world.clock.schedule(POLL_INTERVAL_MS, self.poll, instance, key)

    def read_instances(self, instance, key):
        """Let an instance read the addresses of all instances once."""
        if not self.can_read(instance):
            self.world.clock.schedule(
                POLL_INTERVAL_MS, self.read_instances, instance, key
            )
            return
        addresses = tuple(other.name for other in self.world.instances)
        event = InstancesFound(addresses=addresses, is_complete=True)
        self._deliver(instance, key, event)

    def _read_evacuations(self, instance, key):
        """Deliver the evacuations of the first read, and then only changes."""
        version = self.evacuations.version
        if instance.evacuation_version == 0:
            version = self._operators_offset
        if version <= instance.evacuation_version:
            return
        instance.evacuation_version = version
        event = EvacuationsRead(version=version, zones=self.evacuations.zones)
        self._deliver(instance, key, event)

    def _deliver(self, instance, key, event):
        self.world.clock.schedule(DELAY_MS, self.world.deliver, instance, key, event)

    def _make_configuration(self, version):
        return Configuration(version=version, queues=self.world.plan.shape.queues)
