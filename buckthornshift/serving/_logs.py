"""Structured logs to standard output: bounded in volume, and never blocking."""

import collections
import os

import eliot
import msgspec

from ..dispatch import LogCode, LogLine

MAX_BUFFER_BYTES = 262_144
# PIPE_BUF of Linux: a write of this size is not torn apart by others.
MAX_WRITE_BYTES = 4_096
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class RateLimitedLog:
    """Write numbered events as JSON lines.

    Lines above the rate, or beyond what an unread pipe holds, are dropped; how many
    is said in a line of its own.

    :param fd: file descriptor to write to.
    :param lines_per_s: lines a second on the long run; twice that at once.
    :param read_monotonic_ms: returns a steady time in milliseconds.
    :param instance_name: name of the instance, in every line.
    """

    def __init__(
        self, fd=1, lines_per_s=2_000.0, read_monotonic_ms=None, instance_name=""
    ):
        self.fd = fd
        self.lines_per_s = lines_per_s
        self.read_monotonic_ms = read_monotonic_ms
        self.instance_name = instance_name
        self.n_dropped = 0
        self._n_unreported = 0
        self._tokens = 2.0 * lines_per_s
        self._refilled_ms = None
        self._waiting = collections.deque()
        self._n_buffered_bytes = 0

    def open(self):
        """Take what eliot logs from now on."""
        os.set_blocking(self.fd, False)
        eliot.add_destinations(self._take)

    def write(self, line):
        """Log one event of the core.

        :param line: a :class:`~buckthornshift.dispatch.LogLine`.
        """
        if not self._take_token():
            self.n_dropped += 1
            self._n_unreported += 1
            return
        if self._n_unreported:
            n_dropped, self._n_unreported = self._n_unreported, 0
            self._emit(LogLine(code=LogCode.LINES_DROPPED, fields={"n": n_dropped}))
        self._emit(line)

    def flush(self):
        """Write what waits, as far as the other end reads."""
        while self._waiting:
            data = self._take_chunk()
            try:
                n_written = os.write(self.fd, data)
            except BlockingIOError:
                n_written = 0
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self._waiting.clear()
                self._n_buffered_bytes = 0
                return
            self._n_buffered_bytes -= n_written
            if n_written < len(data):
                self._waiting.appendleft(data[n_written:])
                return

    def _take_chunk(self):
        """Return whole lines that a pipe takes at once, or one longer line."""
        lines = [self._waiting.popleft()]
        n_bytes = len(lines[0])
        while self._waiting and n_bytes + len(self._waiting[0]) <= MAX_WRITE_BYTES:
            lines.append(self._waiting.popleft())
            n_bytes += len(lines[-1])
        return b"".join(lines)

    def _emit(self, line):
        eliot.log_message(
            message_type=line.code.name.lower(),
            code=int(line.code),
            instance=self.instance_name,
            subject=line.subject,
            **line.fields,
        )

    def _take(self, message):
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        data = _ENCODER.encode(message) + b"\n"
        if self._n_buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.n_dropped += 1
            self._n_unreported += 1
            return
        self._waiting.append(data)
        self._n_buffered_bytes += len(data)

    def _take_token(self):
        now_ms = self.read_monotonic_ms()
        if self._refilled_ms is not None:
            earned = (now_ms - self._refilled_ms) / 1000.0 * self.lines_per_s
            self._tokens = min(2.0 * self.lines_per_s, self._tokens + earned)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
