"""Structured logging to standard output: rate-limited and non-blocking."""

import collections
import os
import time

import eliot
import msgspec

from ..dispatch import LogCode, LogLine

MAX_BUFFER_BYTES = 262_144
# PIPE_BUF on Linux: a write of at most this size to a pipe is atomic, so lines of other
# processes that write to the same pipe don't end up inside it.
MAX_WRITE_BYTES = 4_096
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class RateLimitedLog:
    """Write log events as JSON lines.

    Lines above the rate limit, and lines for which the buffer has no room because the
    pipe is not read, are dropped. The next line that is written is preceded by one
    with the number of dropped lines.

    :param fd: file descriptor to write to.
    :param lines_per_s: rate limit in lines per second; bursts may contain the lines
        of two seconds.
    :param read_monotonic_ms: returns a monotonic time in milliseconds.
    :param instance_name: name of the instance, which every line contains.
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
        self._logger = eliot.Logger()
        self._buffer = collections.deque()
        self._n_buffered_bytes = 0

    def open(self):
        """Make the descriptor non-blocking and receive every message of eliot."""
        os.set_blocking(self.fd, False)
        eliot.add_destinations(self._buffer_message)

    def write(self, line):
        """Log one event, or count it as dropped if it exceeds the rate limit.

        :param line: a :class:`~buckthornshift.dispatch.LogLine`.
        """
        if not self._acquire_token():
            self.n_dropped += 1
            self._n_unreported += 1
            return
        if self._n_unreported:
            n_dropped, self._n_unreported = self._n_unreported, 0
            self._log_message(
                LogLine(code=LogCode.LINES_DROPPED, fields={"n": n_dropped})
            )
        self._log_message(line)

    def flush(self):
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            data = self._pop_chunk()
            try:
                n_written = os.write(self.fd, data)
            except BlockingIOError:
                n_written = 0
            except OSError:
                # The read end is closed, so there is nowhere to report the loss.
                self._buffer.clear()
                self._n_buffered_bytes = 0
                return
            self._n_buffered_bytes -= n_written
            if n_written < len(data):
                self._buffer.appendleft(data[n_written:])
                return

    def _pop_chunk(self):
        """Remove and return the lines of one atomic write, or one longer line."""
        lines = [self._buffer.popleft()]
        n_bytes = len(lines[0])
        while self._buffer and n_bytes + len(self._buffer[0]) <= MAX_WRITE_BYTES:
            lines.append(self._buffer.popleft())
            n_bytes += len(lines[-1])
        return b"".join(lines)

    def _log_message(self, line):
        # Lines belong to no task of eliot, so they don't need a new one for each.
        self._logger.write(
            {
                "code": int(line.code),
                "instance": self.instance_name,
                "subject": line.subject,
                **line.fields,
                "timestamp": time.time(),
                "message_type": line.code.name.lower(),
            }
        )

    def _buffer_message(self, message):
        data = _ENCODER.encode(message) + b"\n"
        if self._n_buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.n_dropped += 1
            self._n_unreported += 1
            return
        self._buffer.append(data)
        self._n_buffered_bytes += len(data)

    def _acquire_token(self):
        now_ms = self.read_monotonic_ms()
        if self._refilled_ms is not None:
            n_refilled = (now_ms - self._refilled_ms) / 1000.0 * self.lines_per_s
            self._tokens = min(2.0 * self.lines_per_s, self._tokens + n_refilled)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
