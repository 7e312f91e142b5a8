"""Ordinary callers that send bookings on kept connections."""

import asyncio

import deployment

PAUSE_S = 0.2
# "more than three times"
MOST_CUT = 3


class Callers:
    """Callers that each send one booking after the other.

    They stay within the limits, read at once, and come back after a refusal.
    """

    def __init__(
        self, host: deployment.Host, record: deployment.Record, count: int
    ) -> None:
        self._host = host
        self._record = record
        self._count = count
        self._tasks: list[asyncio.Task] = []
        self._stopped = False
        self.statuses: dict[str, int] = {}
        # Requests behind others on a connection that ended without an answer.
        self.cut: list[str] = []

    def start(self) -> None:
        """Opens the connections."""
        for number in range(self._count):
            self._tasks.append(asyncio.create_task(self._call(number)))

    async def stop(self) -> None:
        """Lets each caller wait for the answer that it is due."""
        self._stopped = True
        await asyncio.wait(self._tasks, timeout=4.0)
        for task in self._tasks:
            task.cancel()

    def lost(self, runs: list[deployment.Run], sound: set[str]) -> list[str]:
        """Returns the requests that sound servers ran and nobody answered."""
        ran = {run.id for run in runs if run.server in sound}
        lost = [name for name in self.cut if name in ran]
        self._record.note(f'ordinary callers got: {self.statuses}')
        self._record.note(f'run by sound servers and cut off: {lost}')
        return lost

    async def _call(self, number: int) -> None:
        try:
            reader, writer = await asyncio.open_connection(
                self._host.ip, self._host.FRONT
            )
        except OSError as exc:
            self._record.note(f'caller {number}: {exc}')
            return
        count = 0
        while not self._stopped:
            count += 1
            name = f'c{number}.{count}'
            data = deployment.request('POST', '/book/x', name, b'body')
            try:
                writer.write(data)
                answer = await deployment.read_answer(reader)
            except ConnectionError as exc:
                answer = deployment.Answer(0, {}, b'', str(exc))
            key = answer.error or str(answer.status)
            self.statuses[key] = self.statuses.get(key, 0) + 1
            if answer.error:
                if count > 1:
                    self.cut.append(name)
                break
            if answer.status != 200:
                await asyncio.sleep(PAUSE_S)
        writer.close()
