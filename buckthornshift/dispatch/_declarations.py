"""What operators and callers declare: queues, backend servers, jobs."""

import attrs


@attrs.frozen(kw_only=True)
class Resources:
    """An amount of what a backend server has and a task needs.

    :param cpu: thousandths of a core.
    :param memory_mb: memory in MB.
    :param gpu: accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def plus(self, other):
        """Return the sum of two amounts."""
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            gpu=self.gpu + other.gpu,
        )

    def minus(self, other):
        """Return what is left of this amount without another."""
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_mb=self.memory_mb - other.memory_mb,
            gpu=self.gpu - other.gpu,
        )

    def covers(self, other):
        """Return whether another amount fits into this one."""
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.gpu >= other.gpu
        )


@attrs.frozen(kw_only=True)
class Queue:
    """A class of work that callers submit to.

    :param name: name in the configuration.
    :param host: value of the ``Host`` header that selects it.
    :param path_prefix: beginning of the paths that select it.
    :param service: group of backend servers that run its tasks.
    :param priority: 0 comes first.
    :param max_attempts: runs of a task that may fail before its job fails.
    :param stretch: factor of the latency objective on the longest chain of work.
    :param target_ms: constant part of the latency objective.
    :param timeout_ms: longest time that a request of it may take.
    :param needs_advice: whether another service restricts the servers to use.
    """

    name: str = ""
    host: str = ""
    path_prefix: str = ""
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    timeout_ms: float = 60_000.0
    needs_advice: bool = False


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Limits on the requests of callers.

    :param max_head_bytes: longest request head.
    :param max_body_bytes: longest request body.
    :param head_timeout_ms: time for a head to arrive.
    :param idle_timeout_ms: time after which an idle connection is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of what the operators declare.

    :param version: rises with every change; 0 means that none is known.
    :param queues: the queues.
    :param limits: limits on requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    limits: HttpLimits = HttpLimits()

    def find_queue(self, host, path):
        """Return the queue with the longest matching prefix, or ``None``.

        :param host: value of the ``Host`` header.
        :param path: path of the request.
        """
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@attrs.frozen(kw_only=True)
class ServerRecord:
    """A backend server as the platform lists it.

    :param server_id: id of this life of the server.
    :param service: the service that it belongs to.
    :param host: IP address.
    :param port: TCP port.
    :param zone: availability zone.
    :param is_draining: whether it is leaving and must get no new work.
    :param capacity: what it can hold at once.
    :param labels: its kind and its rack.
    """

    server_id: str = ""
    service: str = ""
    host: str = ""
    port: int = 0
    zone: str = ""
    is_draining: bool = False
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class StepSpec:
    """A group of like tasks of a job.

    :param n_tasks: number of tasks.
    :param need: what one task needs.
    :param estimate_ms: rough duration of one task; often off by 40 %.
    :param after: numbers of the steps that must be done first.
    :param required_label: label that a server must have; empty for none.
    :param data_rack: rack on which the tasks run faster; empty for none.
    :param max_per_server: most tasks of the step on one server; 0 for no limit.
    """

    n_tasks: int = 1
    need: Resources = Resources()
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0


@attrs.frozen(kw_only=True)
class JobSpec:
    """A job as its caller submitted it.

    :param job_id: id chosen by the caller.
    :param payload: text that every task gets.
    :param steps: its steps.
    """

    job_id: str = ""
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()

    def make_task_name(self, step, index):
        """Return the name under which servers know a task of this job."""
        return f"{self.job_id}.0.{step}.{index}"

    def compute_critical_path_ms(self, n_slots=0):
        """Return the estimated duration of the longest chain of steps.

        :param n_slots: tasks that its service holds at once; a step that is wider
            than a quarter of them counts as several in a row. 0 if not known.
        """
        ends_ms = []
        for step in self.steps:
            ready_ms = max((ends_ms[i] for i in step.after), default=0.0)
            n_waves = max(1.0, 4.0 * step.n_tasks / n_slots) if n_slots else 1.0
            ends_ms.append(ready_ms + n_waves * step.estimate_ms)
        return max(ends_ms, default=0.0)

    def compute_total_work_ms(self):
        """Return the estimated run time of all tasks together."""
        return sum(step.n_tasks * step.estimate_ms for step in self.steps)
