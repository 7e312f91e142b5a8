"""Host processes of the soak."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import sys

from benchmarks.soak import disruptions
from standins import deployment
from standins import fault_proxy

# Networks of 250 addresses that runs may use.
_NETWORKS = 250 * 250
DOMAINS = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b'}
# Bounds that the platform documents.
CONTACT_S = 3.0
GRACE_S = 6.0
# Time from the start of a process until it takes requests.
START_S = 1.5
# Time in which the interpreter starts, beside load.
INTERPRETER_START_S = 0.3


class Host:
    """One host process.

    Attributes:
        name: Name of the host.
        faults_s: Loop times of its stops, starts, pauses and cuts.
        disruptions: Times in which it did not run, or not reach the store.
        unplanned: Times in which it was killed or paused.
        signalled_s: Loop time of the first SIGTERM to each of its processes.
        started_s: Loop time of its last start.
    """

    def __init__(self, name: str, index: int, domain: str, folder: str) -> None:
        self.name = name
        self.domain = domain
        # Concurrent soak processes use different addresses, since the port
        # for metrics is the same for all hosts.
        high, low = divmod(os.getpid() % _NETWORKS, 250)
        self.ip = f'127.{high + 3}.{low}.{index + 1}'
        self.port = deployment.free_port(self.ip)
        self.peer_port = deployment.free_port(self.ip)
        self.folder = pathlib.Path(folder)
        self.process: asyncio.subprocess.Process | None = None
        self.proxy: fault_proxy.FaultProxy | None = None
        self.stopping = False
        self.faults_s: list[float] = []
        self.disruptions = disruptions.Disruptions()
        self.unplanned = disruptions.Disruptions()
        self.signalled_s: list[float] = []
        self._pidfd = -1
        # Length of the log at the last start.
        self._log_offset = 0
        self.started_s = 0.0

    def note_fault(self) -> None:
        """Records the time of a stop, start, pause or cut."""
        self.faults_s.append(asyncio.get_running_loop().time())

    async def start(self) -> None:
        """Starts the process with its log written to a file."""
        path = self.folder / f'{self.name}.conf'
        domains = ''.join(
            f'zones.{domain}={region}\n' for domain, region in DOMAINS.items()
        )
        path.write_text(
            f'node={self.name}\nip={self.ip}\nzone={self.domain}\n{domains}'
            f'listen.front={self.ip}:{self.port}\n'
            f'listen.readiness={self.ip}:{deployment.free_port(self.ip)}\n'
            f'listen.directory={self.ip}:{deployment.free_port(self.ip)}\n'
            f'port_range={self.peer_port},{self.peer_port}\n'
            'contracts=rollout\n'
            f'bounds=grace_s={GRACE_S},contact_s={CONTACT_S},retry_slack=50\n'
            f'provider.address=127.0.0.1:{self.proxy.port}\n'
        )
        log = self._open_log()
        self._log_offset = os.fstat(log).st_size
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'ragwortchute.platform',
            env={**os.environ, 'RAGWORTCHUTE_NODE_FILE': str(path)},
            stdout=log,
            stderr=log,
        )
        os.close(log)
        if self._pidfd >= 0:
            os.close(self._pidfd)
        self._pidfd = os.pidfd_open(self.process.pid)
        self.stopping = False
        self.started_s = asyncio.get_running_loop().time()

    def _open_log(self) -> int:
        path = self.folder / f'{self.name}.log'
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def signal(self, signum: int) -> None:
        """Sends a signal to the host process if it is running."""
        if self.process is None or self.process.returncode is not None:
            return
        now_s = asyncio.get_running_loop().time()
        if signum == signal.SIGHUP and self._is_interpreter_starting(now_s):
            return
        if signum == signal.SIGTERM and not self._is_signalled():
            self.signalled_s.append(now_s)
        # `send_signal` of the process might collect its exit code and drop it.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, signum)

    def has_finished_stop(self) -> bool:
        """Returns whether the log of the last process ends its stop."""
        log = (self.folder / f'{self.name}.log').read_bytes()
        return b'"event":"stop"' in log[self._log_offset :]

    def is_reachable(self) -> bool:
        """Returns whether it takes requests, as far as the run knows."""
        now_s = asyncio.get_running_loop().time()
        return (
            not self.stopping
            and now_s > self.started_s + START_S
            and not self.unplanned.overlap(now_s, now_s)
        )

    def _is_interpreter_starting(self, now_s: float) -> bool:
        """Returns whether SIGHUP would end a process that runs no code yet."""
        if now_s > self.started_s + INTERPRETER_START_S:
            return False
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        handled = re.findall(r'^Sig(?:Ign|Cgt):\s*(\w+)', status, re.MULTILINE)
        return not any(
            int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in handled
        )

    def _is_signalled(self) -> bool:
        return bool(self.signalled_s) and self.signalled_s[-1] > self.started_s

    async def wait_ended(self) -> None:
        """Waits for the process to exit; kills it after `GRACE_S` seconds."""
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
