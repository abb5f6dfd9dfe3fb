"""Declarations of operators and callers: queues, backend servers, jobs."""

import attrs


@attrs.frozen(kw_only=True)
class Resources:
    """Resources that a backend server has or a task needs.

    :param cpu: thousandths of a core.
    :param memory_mb: memory in MB.
    :param gpu: number of accelerators.
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
        """Return the difference of this amount and another."""
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
    """A queue that callers submit jobs to, with its priority and latency objective.

    :param name: name in the configuration.
    :param host: value of the ``Host`` header that selects it.
    :param path_prefix: prefix of the request paths that select it.
    :param service: service whose backend servers run its tasks.
    :param priority: 0 is the highest.
    :param max_attempts: failed runs of a task after which its job fails.
    :param stretch: part of the latency objective that is proportional to the job, as a
        multiple of the duration of its critical path.
    :param target_ms: constant part of the latency objective.
    :param timeout_ms: maximum duration of a request.
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

    :param max_head_bytes: maximum size of a request head.
    :param max_body_bytes: maximum size of a request body.
    :param head_timeout_ms: time within which a request head has to arrive.
    :param idle_timeout_ms: time after which an idle connection is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the configuration that the operators declare.

    :param version: increases with every change; 0 if no configuration is known.
    :param queues: the queues.
    :param limits: limits on requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    limits: HttpLimits = HttpLimits()

    def find_queue(self, host, path):
        """Return the queue with the longest matching path prefix, or ``None``.

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
class Evacuations:
    """The availability zones in which operators allow no new task.

    :param version: offset of the operators' topic at which the set was read; 0 where no
        evacuation was ever known.
    :param zones: the zones, in alphabetical order.
    """

    version: int = 0
    zones: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ServerRecord:
    """Entry of a backend server in the platform's list.

    :param server_id: id of the server; a restarted server may keep it.
    :param service: name of the service that it belongs to.
    :param host: IP address.
    :param port: TCP port.
    :param zone: availability zone.
    :param is_draining: whether it is shutting down and must get no new tasks.
    :param capacity: total resources for tasks.
    :param labels: labels of its hardware and its rack.
    :param started_ms: when the server's process started, in milliseconds since the
        epoch, which identifies its incarnation; 0 if unknown.
    :param cold_left_ms: how much longer it remains slow after its start.
    """

    server_id: str = ""
    service: str = ""
    host: str = ""
    port: int = 0
    zone: str = ""
    is_draining: bool = False
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    started_ms: int = 0
    cold_left_ms: float = 0.0


@attrs.frozen(kw_only=True)
class StepSpec:
    """A step of a job, which consists of tasks of the same size.

    :param n_tasks: number of tasks.
    :param need: resources that one task needs.
    :param estimate_ms: estimated duration of one task; often off by 40 %.
    :param after: numbers of the steps that must be complete first.
    :param required_label: label that a server must have; empty for none.
    :param data_rack: rack on which the tasks run faster; empty for none.
    :param max_per_server: maximum number of the step's tasks on one server; 0 for no
        limit.
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
    :param payload: text that is passed to every task.
    :param steps: its steps, in an order in which each comes after its dependencies.
    """

    job_id: str = ""
    payload: str = ""
    steps: tuple[StepSpec, ...] = ()

    def make_task_name(self, step, index):
        """Return the name under which servers know a task of this job."""
        return f"{self.job_id}.0.{step}.{index}"

    def compute_critical_path_ms(self, n_slots=0):
        """Return the estimated duration of the critical path through the steps.

        :param n_slots: tasks that its service can run at once. A step with more than a
            quarter as many tasks counts as several steps in a row. 0 if unknown.
        """
        end_ms_by_step = []
        for step in self.steps:
            ready_ms = max((end_ms_by_step[i] for i in step.after), default=0.0)
            n_waves = max(1.0, 4.0 * step.n_tasks / n_slots) if n_slots else 1.0
            end_ms_by_step.append(ready_ms + n_waves * step.estimate_ms)
        return max(end_ms_by_step, default=0.0)

    def compute_total_work_ms(self):
        """Return the estimated run time of all tasks together."""
        return sum(step.n_tasks * step.estimate_ms for step in self.steps)
